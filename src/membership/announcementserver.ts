/**
 * Serves the HTTP endpoint to which the upstreams beside this daemon announce themselves.
 *
 * `POST /v1/upstreams/NAME` announces an upstream and `DELETE` removes it. Owns the HTTP server.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { z } from "zod";
import { ConfigError } from "../config/configerror.js";
import { parse } from "../config/parse.js";
import { httpStatus } from "../http/httpstatus.js";
import type { Address } from "../ids/address.js";
import { UpstreamName } from "../ids/upstreamname.js";
import { log } from "../log/log.js";
import { listen } from "../time/listen.js";
import { Announcement } from "./announcement.js";
import { StartTime } from "./starttime.js";

const logger = log("roster");

const Departure = z.object({ born: StartTime.optional() });

const PATH = /^\/v1\/upstreams\/([^/?]+)$/;
/** Maximum size of a request body; many times the size of the largest announcement. */
const MAX_REQUEST_BYTES = 16 * 1024;

/** Maximum number of paths whose last error is remembered; more than the upstreams of one host. */
const MAX_LAST_REFUSALS = 64;

/** Handlers of the requests; the server responds with 200 only after a handler has applied the request. */
type AnnouncementDependencies = {
    readonly onAnnounced: (name: UpstreamName, announcement: Announcement) => Promise<void>;
    /** `startTime` is the reported start time, which identifies a delayed request of an earlier incarnation. */
    readonly onLeft: (name: UpstreamName, startTime: StartTime | undefined) => void;
};

const readText = async (req: IncomingMessage): Promise<string> => {
    let text = "";
    for await (const chunk of req.setEncoding("utf8")) {
        text += chunk as string;
        if (text.length > MAX_REQUEST_BYTES) {
            throw new SyntaxError(`at most ${MAX_REQUEST_BYTES} bytes`);
        }
    }
    return text;
};

const sendJson = (res: ServerResponse, status: number, body: object): void => {
    res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
};

/**
 * Accepts announcements and departures. Responds with 400 and a message that names the invalid field to malformed
 * requests, and closes the connection on all other errors, so that the request is not acknowledged.
 */
export class AnnouncementServer {
    readonly #server: Server;
    /** The last error by path; the same error is logged once. */
    readonly #lastRefusals = new Map<string, string>();

    constructor(private readonly deps: AnnouncementDependencies) {
        this.#server = createServer((req, res) => void this.#handle(req, res));
    }

    listen(address: Address): Promise<void> {
        return listen(this.#server, address);
    }

    close(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        try {
            const text = await readText(req);
            const name = PATH.exec(req.url ?? "")?.[1];
            if (name === undefined) {
                sendJson(res, httpStatus.notFound, { error: "nothing is here" });
                return;
            }
            await this.#apply(req.method, parse(UpstreamName, decodeURIComponent(name)), text);
            sendJson(res, httpStatus.ok, {});
        }
        catch (err) {
            this.#handleError(req, res, err);
        }
    }

    async #apply(method: string | undefined, name: UpstreamName, text: string): Promise<void> {
        switch (method) {
            case "POST":
                await this.deps.onAnnounced(name, parse(Announcement, JSON.parse(text)));
                return;
            case "DELETE":
                this.deps.onLeft(name, parse(Departure, text === "" ? {} : JSON.parse(text)).born);
                return;
            default:
                throw new SyntaxError(`method ${method} is not known`);
        }
    }

    #logRefusal({ method, url: path = "" }: IncomingMessage, err: unknown, message: string): void {
        if (this.#lastRefusals.get(path) === message) {
            return;
        }
        this.#lastRefusals.set(path, message);
        if (this.#lastRefusals.size > MAX_LAST_REFUSALS) {
            this.#lastRefusals.delete(this.#lastRefusals.keys().next().value!);
        }
        logger.warn(
            "An upstream's announcement or departure was rejected. Further identical errors are not logged.",
            err,
            { method, path },
        );
    }

    #handleError(req: IncomingMessage, res: ServerResponse, err: unknown): void {
        const message = err instanceof Error ? err.message : String(err);
        this.#logRefusal(req, err, message);
        if (err instanceof ConfigError || err instanceof SyntaxError || err instanceof URIError) {
            sendJson(res, httpStatus.badRequest, { error: message });
            return;
        }
        res.destroy();
    }
}
