/** Stands in for an instance on the users' platform: announces itself to its daemon, and serves requests. */
import { type IncomingMessage, type OutgoingHttpHeaders, request, type ServerResponse } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import type { InstanceControl } from "./instancecontrol.js";
import { seededRandom } from "./seededrandom.js";
import { sendChunked } from "./sendchunked.js";
import { sendFaulty } from "./sendfaulty.js";
import { sendJson } from "./sendjson.js";
import { StandinServer } from "./standinserver.js";
import { SurplusResponses } from "./surplusresponses.js";

/** Changes of these only have no effect on the announcements. */
const UNANNOUNCED: readonly string[] = ["workMs", "pace"];
/** Run time of a request that crashes the instance; about as long as in observed crashes. */
const CRASH_AFTER_MS = 60;
const ENDLESS_PATH = "/endless";

/** Identity, addresses and capacity of an instance. */
type InstanceOptions = {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    readonly slots: number;
    /** Address at which the daemon accepts announcements. */
    readonly daemon: string;
    /** A request with this path ends the process `CRASH_AFTER_MS` after it starts to run; empty for none. */
    readonly crashPath: string;
    readonly announceEveryMs: number;
};

/**
 * Serves requests, and prints a line for each of these events; `ms` is the time on the instance's monotonic clock:
 * - `R id`: a request starts to run.
 * - `C ms`: a request starts to run while the instance is cold.
 * - `L ms id`: a request arrives while the instance states a rate limit; `id` is `health` for a health check.
 * - `V ms id`: the same while the instance states that it is leaving.
 * - `S ms`: the first response that states a rate limit is sent.
 */
export class InstanceStandin extends StandinServer<InstanceControl> {
    #running = 0;
    #sequence = 0;
    #coldEndsAt = 0;
    #hasStatedLimit = false;
    readonly #incarnation = Date.now();
    readonly #surplus = new SurplusResponses();
    readonly #random: () => number;

    constructor(private readonly options: InstanceOptions) {
        super({
            state: "ready",
            workMs: 5,
            pace: 100,
            fault: "none",
            silent: false,
            coldMs: 0,
            limit: "",
            leaving: false,
            callUrl: "",
            saysOnHealth: false,
            shedShare: 0,
            surplusShare: 0,
            surplusStatus: 0,
            surplusHasId: true,
            padBytes: 0,
            chunkBytes: 0,
        });
        this.#random = seededRandom(Buffer.from(options.id).reduce((seed, byte) => 31 * seed + byte, 0));
        setInterval(() => void this.#announce(), options.announceEveryMs);
    }

    /** Announces the changed state; the response says whether the daemon acknowledged the announcement. */
    protected override async applyControl(changes: Partial<InstanceControl>): Promise<object> {
        const { coldMs } = changes;
        if (coldMs !== undefined) {
            this.#coldEndsAt = performance.now() + coldMs;
        }
        const isAnnounced = Object.keys(changes).some(name => !UNANNOUNCED.includes(name));
        return { acknowledged: isAnnounced && await this.#announce() };
    }

    protected override async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        res.setHeader("server-load", `${this.#running},0,${this.options.slots},${this.control.pace}`);
        res.setHeader("instance-id", this.options.id);
        this.#printArrival(req);
        this.#surplus.send(req.socket);
        if (req.url === "/health") {
            if (this.control.saysOnHealth) {
                this.#setStateHeaders(res);
            }
            if (this.#coldMs > 0) {
                res.setHeader("cold-ms", this.#coldMs);
            }
            return sendJson(res, this.control.state === "ready" ? 200 : 503, {});
        }
        const expected = req.headers["expected-instance"];
        if (expected !== undefined && expected !== this.options.id) {
            return sendJson(res, 421, {});
        }
        if (this.#hasChance(this.control.shedShare)) {
            return this.#respond(req, res, 503, { "not-executed": "1" });
        }
        await this.#runRequest(req, res);
    }

    #hasChance(share: number): boolean {
        return share > 0 && this.#random() < share;
    }

    /** Responds with the request's id, and keeps a copy as a surplus response if that is configured. */
    #respond(
        req: IncomingMessage,
        res: ServerResponse,
        status: number,
        headers: OutgoingHttpHeaders = {},
        body = "",
    ): void {
        const { surplusShare, surplusStatus, surplusHasId } = this.control;
        const idField = { "attempt-id": req.headers["attempt-id"] };
        if (this.#hasChance(surplusShare)) {
            const fields = { ...res.getHeaders(), ...headers, ...surplusHasId && idField };
            this.#surplus.keep(req.socket, { status: surplusStatus || status, headers: fields, body });
        }
        res.writeHead(status, { ...headers, ...idField }).end(body);
    }

    #printArrival(req: IncomingMessage): void {
        const arrival = `${performance.now()} ${String(req.headers["attempt-id"] ?? "health")}`;
        if (this.control.limit !== "") {
            console.log(`L ${arrival}`);
        }
        if (this.control.leaving) {
            console.log(`V ${arrival}`);
        }
    }

    #setStateHeaders(res: ServerResponse): void {
        const { limit, leaving } = this.control;
        if (limit !== "") {
            res.setHeader("server-limit", limit.split(";"));
            if (!this.#hasStatedLimit) {
                this.#hasStatedLimit = true;
                console.log(`S ${performance.now()}`);
            }
        }
        if (leaving) {
            res.setHeader("server-leaving", "1");
        }
    }

    get #coldMs(): number {
        return Math.max(0, Math.ceil(this.#coldEndsAt - performance.now()));
    }

    async #runRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const id = String(req.headers["attempt-id"]);
        console.log(`R ${id}`);
        if (this.#coldMs > 0) {
            console.log(`C ${performance.now()}`);
        }
        this.#running += 1;
        if (req.url === this.options.crashPath) {
            await wait(CRASH_AFTER_MS);
            process.exit(1);
        }
        await wait(this.control.workMs * this.control.pace / 100);
        const callStatus = await this.#call(id);
        this.#running -= 1;
        this.#setStateHeaders(res);
        if (this.control.fault !== "none") {
            res.setHeader("attempt-id", this.control.fault === "foreign" ? "another" : id);
        }
        res.setHeader("server-signature", `of-${this.options.id}`);
        const { host, tenant: team, "caller-service": caller, "x-api-key": key } = req.headers;
        const { padBytes, chunkBytes } = this.control;
        const pad = padBytes === 0 ? undefined : "p".repeat(padBytes);
        const hasKey = key !== undefined;
        const body = JSON.stringify({ id, host, caller, team, hasKey, url: req.url, callStatus, pad });
        const { fault } = this.control;
        if (fault !== "none" && (!fault.startsWith("endless") || req.url?.endsWith(ENDLESS_PATH))) {
            sendFaulty(req.socket, res, fault, id, body);
        }
        else if (chunkBytes > 0) {
            sendChunked(res, { "attempt-id": id }, body, chunkBytes);
        }
        else {
            this.#respond(req, res, 200, { "content-type": "application/json" }, body);
        }
    }

    /** Makes the call of a run, without a key; returns the status of its response, or undefined if there is no call. */
    async #call(id: string): Promise<number | undefined> {
        const { callUrl } = this.control;
        if (callUrl === "") {
            return undefined;
        }
        const headers = { "host": "site.example", "attempt-id": `${id}.1`, "deadline-ms": "1000" };
        return await new Promise(resolve => {
            const call = request(callUrl, { headers, agent: false }, res => {
                res.resume().on("end", () => resolve(res.statusCode));
            });
            call.on("error", () => resolve(0)).end();
        });
    }

    async #announce(): Promise<boolean> {
        if (this.control.silent) {
            return false;
        }
        const { id, service, address, slots, daemon } = this.options;
        const { state } = this.control;
        const body = JSON.stringify({
            service,
            address,
            slots,
            state,
            coldMs: this.#coldMs,
            born: this.#incarnation,
            sequence: this.#sequence++,
        });
        try {
            const method = state === "left" ? "DELETE" : "POST";
            const response = await fetch(`http://${daemon}/v1/upstreams/${id}`, {
                method,
                body: method === "POST" ? body : JSON.stringify({ born: this.#incarnation }),
            });
            return response.ok;
        }
        catch {
            return false;
        }
    }
}
