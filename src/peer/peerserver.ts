/** The listener that peers send requests and calls to; it takes daemons only. */
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { timingSafeEqual } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Ruling } from "../config/ruling.js";
import type { Gate } from "../gate/gate.js";
import type { GateIdentity } from "../gate/gateidentity.js";
import type { AnswerNote } from "../hop/answernote.js";
import type { CallHead } from "../hop/callhead.js";
import { Cancel } from "../hop/cancel.js";
import { cleanHeaders } from "../hop/cleanheaders.js";
import { headerName } from "../hop/headername.js";
import { HopError } from "../hop/hoperror.js";
import { passBody } from "../hop/passbody.js";
import { readHead } from "../hop/readhead.js";
import { writeNote } from "../hop/writenote.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import type { Clock } from "../time/clock.js";
import { listen } from "../time/listen.js";
import { peerRouter } from "./peerrouter.js";
import type { PeerService } from "./peerservice.js";

const REFUSED_STATUS = 503;
const FORBIDDEN_STATUS = 403;
const BAD_STATUS = 400;
const KEEP_ALIVE_MS = 10_000;

/** What the listener needs of its daemon. */
type PeerServerParts = {
    readonly key: string;
    readonly clock: Clock;
    readonly identity: GateIdentity;
    readonly service: PeerService;
    readonly gate: (name: UpstreamName) => Gate | undefined;
    /** Pulls a newer configuration before the gate decides. */
    readonly catchUp: (revision: number, from: string | undefined) => Promise<void>;
    /** What the rules here say of a request. */
    readonly find: (method: string, host: string | undefined, path: string) => Ruling | undefined;
    /** True when the sender's older rules let a request repeat that the newer ones do not. */
    readonly isStale: (head: CallHead, ruling: Ruling | undefined) => boolean;
    /** Takes in that a peer sends work here, so that it is told of load. */
    readonly heardFrom: (address: string | undefined) => void;
};

/** Turns peer requests into calls of the gate. */
export class PeerServer {
    readonly #server: Server;
    readonly #key: Buffer;
    #inFlight = 0;
    #winding = false;
    readonly #trpc: (req: IncomingMessage, res: ServerResponse) => void;

    constructor(private readonly parts: PeerServerParts) {
        this.#key = Buffer.from(parts.key);
        this.#trpc = createHTTPHandler({
            router: peerRouter,
            basePath: "/trpc/",
            createContext: () => ({ service: parts.service }),
        });
        this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0 }, (req, res) => {
            this.#handle(req, res);
        });
    }

    listen(address: string): Promise<void> {
        return listen(this.#server, address);
    }

    /** Requests that have not been answered whole. */
    get inFlight(): number {
        return this.#inFlight;
    }

    /** From now on each answer ends its connection. */
    wind(): void {
        this.#winding = true;
    }

    /** Ends idle connections and goes on listening. */
    closeIdle(): void {
        this.#server.closeIdleConnections();
    }

    /** Ends once all connections have. */
    close(): Promise<void> {
        return new Promise(resolve => this.#server.close(() => resolve()));
    }

    /** Cuts what is left. */
    destroy(): void {
        this.#server.closeAllConnections();
    }

    #handle(req: IncomingMessage, res: ServerResponse): void {
        this.#inFlight += 1;
        res.on("close", () => this.#inFlight -= 1);
        res.shouldKeepAlive = res.shouldKeepAlive && !this.#winding;
        res.sendDate = false;
        if (res.shouldKeepAlive) {
            res.removeHeader("connection");
        }
        if (!this.#isPeer(req)) {
            res.writeHead(FORBIDDEN_STATUS).end();
            return;
        }
        const text = req.headers[headerName.call];
        if (text === undefined) {
            this.#trpc(req, res);
            return;
        }
        void this.#serve(req, res, String(text));
    }

    #isPeer(req: IncomingMessage): boolean {
        const given = Buffer.from(String(req.headers[headerName.key] ?? ""));
        return given.length === this.#key.length && timingSafeEqual(given, this.#key);
    }

    async #serve(req: IncomingMessage, res: ServerResponse, text: string): Promise<void> {
        const head = readHead(text);
        if (head === undefined) {
            this.#refuse(res, BAD_STATUS, "bad-call-head");
            return;
        }
        const left = new Cancel();
        res.on("close", () => {
            if (!res.writableFinished) {
                left.abort();
            }
        });
        try {
            this.parts.heardFrom(head.from);
            await this.parts.catchUp(head.revision, head.from);
            await this.#answer(req, res, head, left);
        }
        catch (err) {
            const failure = err instanceof HopError ? err : new HopError("unknown", "gate-error", undefined);
            const outcome = failure.outcome === "not-run" ? "not-run" : "unknown";
            this.#refuse(res, REFUSED_STATUS, failure.reason, failure.note ?? { outcome });
        }
    }

    async #answer(req: IncomingMessage, res: ServerResponse, head: CallHead, cancel: Cancel): Promise<void> {
        const gate = this.parts.gate(head.upstream);
        if (gate === undefined) {
            throw new HopError("not-run", "no-such-upstream");
        }
        const ruling = this.parts.find(req.method ?? "GET", req.headers.host, req.url ?? "/");
        if (this.parts.isStale(head, ruling)) {
            throw new HopError("not-run", "stale-rule");
        }
        const hasBody = req.headers["content-length"] !== undefined || req.headers["transfer-encoding"] !== undefined;
        const answer = await gate.serve({
            head,
            rule: ruling?.rule.name,
            method: req.method ?? "GET",
            path: req.url ?? "/",
            headers: cleanHeaders(req.headers),
            body: hasBody ? req : undefined,
            cancel,
        });
        res.writeHead(answer.status, { ...answer.headers, [headerName.note]: writeNote(answer.note!) });
        passBody(answer.body, res);
    }

    #refuse(res: ServerResponse, status: number, reason: string, note: Partial<AnswerNote> = {}): void {
        if (res.headersSent || res.destroyed) {
            res.destroy();
            return;
        }
        const full: AnswerNote = {
            ...this.parts.identity.note(this.parts.clock()),
            outcome: "not-run",
            reason,
            ...note,
        };
        res.writeHead(status, { [headerName.note]: writeNote(full) }).end();
    }
}
