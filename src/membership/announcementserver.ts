/** The listener for the upstreams beside this daemon: `POST /v1/upstreams/NAME` announces, `DELETE` leaves. */
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
import { Born } from "./starttime.js";

const logger = log("roster");

const Departure = z.object({ born: Born.optional() });

const PATH = /^\/v1\/upstreams\/([^/?]+)$/;
/** Of an announcement: many times the largest. */
const MAX_BYTES = 16 * 1024;

/** Senders whose refusal is remembered: those of one host, and some more. */
const MAX_REFUSED = 64;

/** Told what upstreams announce; an answer of 200 means that it is applied. */
type AnnouncementDependencies = {
    readonly onAnnounced: (name: UpstreamName, announcement: Announcement) => Promise<void>;
    /** `born` as it was told, to know a word of an earlier life by. */
    readonly onLeft: (name: UpstreamName, born: Born | undefined) => void;
};

const readText = async (req: IncomingMessage): Promise<string> => {
    let text = "";
    for await (const chunk of req.setEncoding("utf8")) {
        text += chunk as string;
        if (text.length > MAX_BYTES) {
            throw new SyntaxError(`at most ${MAX_BYTES} bytes`);
        }
    }
    return text;
};

const answer = (res: ServerResponse, status: number, body: object): void => {
    res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
};

/** Bad input gets 400 and an answer that names the field. */
export class AnnouncementServer {
    readonly #server: Server;
    /** What was last turned down of whom, so that the log says so once. */
    readonly #refused = new Map<string, string>();

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
                answer(res, httpStatus.notFound, { error: "nothing is here" });
                return;
            }
            await this.#take(req.method, parse(UpstreamName, decodeURIComponent(name)), text);
            answer(res, httpStatus.ok, {});
        }
        catch (err) {
            this.#refuse(req, res, err);
        }
    }

    async #take(method: string | undefined, name: UpstreamName, text: string): Promise<void> {
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
        if (this.#refused.get(path) === message) {
            return;
        }
        this.#refused.set(path, message);
        if (this.#refused.size > MAX_REFUSED) {
            this.#refused.delete(this.#refused.keys().next().value!);
        }
        logger.warn("An announcement is turned down; the same again is not logged.", err, { method, path });
    }

    #refuse(req: IncomingMessage, res: ServerResponse, err: unknown): void {
        const message = err instanceof Error ? err.message : String(err);
        this.#logRefusal(req, err, message);
        if (err instanceof ConfigError || err instanceof SyntaxError || err instanceof URIError) {
            answer(res, httpStatus.badRequest, { error: message });
            return;
        }
        res.destroy();
    }
}
