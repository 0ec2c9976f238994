/** Stands in for an upstream that uses winglock's own header fields. */
import { type IncomingMessage, type OutgoingHttpHeaders, request, type ServerResponse } from "node:http";
import { sampleServiceTime } from "./sampleservicetime.js";
import { sendJson } from "./sendjson.js";
import { StandinServer } from "./standinserver.js";
import { streamEvents } from "./streamevents.js";
import { SurplusResponses } from "./surplusresponses.js";
import type { UpstreamControl } from "./upstreamcontrol.js";
import { writeResponse } from "./writeresponse.js";

const CRASH_SUFFIX = "/crash";
/** Time after the first response that states a limit by which the daemon that relayed it knows the limit. */
const LIMIT_KNOWN_AFTER_MS = 500;

type Job = { readonly run: () => void; };

/**
 * Runs up to `slots` requests at once and queues the rest. `/events` streams and `/poll?ms=N` waits, both without a
 * slot; `/chain` calls the next service through the local daemon; a path that ends with `/crash` ends the process.
 * Prints `A id` when a request arrives, `R id` when it starts to run, and `L period limit id` when it arrives more than
 * `LIMIT_KNOWN_AFTER_MS` after the first response of a period in which the upstream states a rate limit.
 */
export class UpstreamStandin extends StandinServer<UpstreamControl> {
    readonly #queue: Job[] = [];
    readonly #surplus = new SurplusResponses();
    #isNoisy = false;
    #running = 0;
    #served = 0;
    #cancelled = 0;
    #inFlight = 0;
    /** Number of periods with a stated limit, and the time of the first response of the current period. */
    #limitPeriods = 0;
    #limitStatedAt: number | undefined;

    constructor(private readonly slots: number, private readonly random: () => number) {
        super({
            slowdown: 1,
            meanMs: 10,
            spread: "low",
            failing: 0,
            shed: "no",
            shedShare: 1,
            leaving: false,
            limitPerSecond: 0,
            answerFault: "none",
            faultShare: 1,
            surplusShare: 0,
            noiseEveryMs: 0,
            next: "",
        });
    }

    get inFlight(): number {
        return this.#inFlight;
    }

    /** Refuses new requests from now on, stating that it leaves; finishes the queued and running ones. */
    startLeaving(): void {
        this.control.leaving = true;
    }

    protected override async serve(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
        switch (url.pathname) {
            case "/counts":
                return sendJson(res, 200, { served: this.#served, cancelled: this.#cancelled, running: this.#running });
            case "/health":
                return this.#health(res);
            default:
                return await this.#serveRequest(req, res, url);
        }
    }

    protected override async applyControl(): Promise<object> {
        if (this.control.limitPerSecond === 0) {
            this.#limitStatedAt = undefined;
        }
        if (!this.#isNoisy && this.control.noiseEveryMs > 0) {
            this.#isNoisy = true;
            this.#scheduleNoise();
        }
        return this.control;
    }

    /** Simulates a noisy neighbor: 5 to 10 times slower for 50 to 500 ms, after random pauses. */
    #scheduleNoise(): void {
        const pauseMs = -Math.log(1 - this.random()) * this.control.noiseEveryMs;
        setTimeout(() => {
            this.control.slowdown = 5 + 5 * this.random();
            setTimeout(() => {
                this.control.slowdown = 1;
                this.#isNoisy = this.control.noiseEveryMs > 0;
                if (this.#isNoisy) {
                    this.#scheduleNoise();
                }
            }, 50 + 450 * this.random());
        }, pauseMs);
    }

    #health(res: ServerResponse): void {
        res.writeHead(200, this.control.leaving ? { "winglock-leaving": "1" } : {});
        res.end();
    }

    async #serveRequest(req: IncomingMessage, res: ServerResponse, url: URL): Promise<void> {
        const path = url.pathname;
        req.resume();
        this.#surplus.send(req.socket);
        this.#print("A", req);
        this.#printLimitedArrival(req);
        if (this.#refuseIfConfigured(req, res)) {
            return;
        }
        this.#inFlight += 1;
        res.on("close", () => this.#inFlight -= 1);
        if (path === "/poll") {
            const ms = Number(url.searchParams.get("ms"));
            this.#printRun(req);
            await new Promise(resolve => setTimeout(resolve, ms));
            return this.#respond(req, res);
        }
        if (path === "/events") {
            this.#printRun(req);
            return streamEvents(req, res);
        }
        const job = { run: () => this.#run(req, res, path) };
        if (this.#running < this.slots) {
            job.run();
        }
        else {
            this.#queue.push(job);
        }
    }

    #refuseIfConfigured(req: IncomingMessage, res: ServerResponse): boolean {
        if (this.control.leaving) {
            this.#refuse(req, res, { "winglock-outcome": "not-run", "winglock-leaving": "1" });
            return true;
        }
        if (this.control.shed !== "no" && this.random() < this.control.shedShare) {
            this.#refuse(req, res, this.control.shed === "said" ? { "winglock-outcome": "not-run" } : {});
            return true;
        }
        return false;
    }

    #refuse(req: IncomingMessage, res: ServerResponse, fields: OutgoingHttpHeaders): void {
        const headers = { ...fields, "winglock-request-id": req.headers["winglock-request-id"] };
        if (this.random() < this.control.surplusShare) {
            this.#surplus.keep(req.socket, { status: 503, headers, body: "" });
        }
        res.writeHead(503, headers).end();
    }

    #printRun(req: IncomingMessage): void {
        this.#print("R", req);
    }

    #print(event: "A" | "R", req: IncomingMessage): void {
        const id = req.headers["x-load-id"];
        if (id !== undefined) {
            process.stdout.write(`${event} ${id}\n`);
        }
    }

    #run(req: IncomingMessage, res: ServerResponse, path: string): void {
        this.#running += 1;
        this.#printRun(req);
        if (this.random() < this.control.failing) {
            this.#finish(() => sendJson(res, 500, { error: "failed" }));
            return;
        }
        const { meanMs, spread, slowdown } = this.control;
        const ms = sampleServiceTime(meanMs, spread, this.random()) * slowdown;
        if (path.endsWith(CRASH_SUFFIX)) {
            setTimeout(() => process.exit(1), ms);
            return;
        }
        let isWorking = true;
        const timer = setTimeout(() => {
            isWorking = false;
            this.#finish(() => void this.#chainOrRespond(req, res, path));
        }, ms);
        res.on("close", () => {
            if (isWorking && req.method === "GET") {
                clearTimeout(timer);
                this.#cancelled += 1;
                this.#finish(() => {});
            }
        });
    }

    #finish(respond: () => void): void {
        this.#served += 1;
        this.#running -= 1;
        respond();
        this.#queue.shift()?.run();
    }

    async #chainOrRespond(req: IncomingMessage, res: ServerResponse, path: string): Promise<void> {
        if (path.startsWith("/chain") && this.control.next !== "") {
            const status = await this.#callNext(req);
            if (status >= 500) {
                return sendJson(res, 502, { error: "the next service failed" });
            }
        }
        this.#respond(req, res);
    }

    /** Makes a nested call through the local daemon, and resolves with the status, or with 500 if the call fails. */
    #callNext(req: IncomingMessage): Promise<number> {
        const headers: Record<string, string> = { "winglock-context": String(req.headers["winglock-context"] ?? "") };
        if (req.headers["x-load-id"] !== undefined) {
            headers["x-load-id"] = String(req.headers["x-load-id"]);
        }
        return new Promise(resolve => {
            const call = request(`http://${this.control.next}`, { headers }, res => {
                res.resume();
                res.on("end", () => resolve(res.statusCode ?? 500));
                res.on("error", () => resolve(500));
            });
            call.on("error", () => resolve(500));
            call.end();
        });
    }

    #printLimitedArrival(req: IncomingMessage): void {
        if (this.#limitStatedAt !== undefined && performance.now() - this.#limitStatedAt > LIMIT_KNOWN_AFTER_MS) {
            process.stdout.write(
                `L ${process.pid}.${this.#limitPeriods} ${this.control.limitPerSecond} ${req.headers["x-load-id"]}\n`,
            );
        }
    }

    #setLimitHeader(res: ServerResponse): void {
        const { limitPerSecond } = this.control;
        if (limitPerSecond > 0) {
            this.#limitPeriods += this.#limitStatedAt === undefined ? 1 : 0;
            this.#limitStatedAt ??= performance.now();
            res.setHeader("winglock-limit", String(limitPerSecond));
        }
    }

    #respond(req: IncomingMessage, res: ServerResponse): void {
        if (!res.destroyed) {
            this.#setLimitHeader(res);
            const fault = this.random() < this.control.faultShare ? this.control.answerFault : "none";
            writeResponse(req, res, fault);
        }
    }
}
