/** A soak of planned work: stops, repeated signals, reloads and changes of the configuration, in series and overlapping. */
import { Agent, request } from "node:http";
import { seededRandom } from "../standin/seededrandom.js";
import { pause } from "./pause.js";
import { platformConfiguration } from "./platformconfiguration.js";
import type { PlatformMesh } from "./platformmesh.js";
import { SchedulerSamples } from "./schedulersamples.js";

/** The time from SIGTERM until a daemon is killed. */
const GRACE_S = 6;
const TIME_LIMIT_MS = 1500;
const SEND_EVERY_MS = 80;
/** Far longer than any request may take. */
const GIVE_UP_MS = 10_000;
const MAX_WORK_MS = 900;
const MAX_PAUSE_MS = 1500;
const INGRESS_PORT = 7104;
const DISTURBANCE_STREAMS = 3;

/**
 * How a request ended for its caller: with a status, with a closed connection and no complete response, with a refused
 * connection, or because the caller gave up.
 */
type End = number | "closed" | "refused" | "gave-up";

type Ended = { readonly id: string; readonly isOnce: boolean; readonly end: End; };

/** What the soak counts; the lists have the ids of the requests that break a guarantee. */
type SoakCounts = {
    readonly sent: number;
    readonly answered: number;
    readonly refusedConnections: number;
    /** Connections that were closed before the request was passed on. */
    readonly unread: number;
    readonly gaveUp: number;
    readonly stops: number;
    /** Requests that an upstream ran and whose connection was closed without a complete answer. */
    readonly lost: readonly string[];
    /** Requests that may run only once and ran more often, or were refused though they had run. */
    readonly ranTwice: readonly string[];
    readonly refusedThoughRun: readonly string[];
    /** Exit codes other than 0, and stops that outlasted the grace time. */
    readonly badExits: readonly string[];
    /** For each of these, how long the daemon had run and waited for a processor, during its stop. */
    readonly badExitTimes: readonly string[];
    /** Log lines of stops that cut off a request, left bytes unsent, or don't account for each accepted request. */
    readonly badStops: readonly string[];
};

/** The summary of a stop in its log line. */
type StopLine = Record<"accepted" | "answered" | "unanswered" | "cut" | "left" | "unsentBytes", number>;

const isCleanStop = (line: string): boolean => {
    const { accepted, answered, unanswered, cut, left, unsentBytes } = JSON.parse(line) as StopLine;
    return cut + left + unsentBytes === 0 && accepted === answered + unanswered;
};

/** Runs one soak on a mesh whose daemons were started with `StopSoak.settings`. */
export class StopSoak {
    static readonly settings = { stop: { lingerMs: 2600, graceS: GRACE_S, limitMs: 1600 } };
    readonly #agent = new Agent({ keepAlive: true });
    readonly #ended: Ended[] = [];
    readonly #badExits: string[] = [];
    readonly #badExitTimes: string[] = [];
    readonly #stopping = new Set<string>();
    #stops = 0;
    #revision = 1;
    #isRunning = true;

    constructor(private readonly mesh: PlatformMesh, private readonly seed: number) {}

    async run(seconds: number): Promise<SoakCounts> {
        await this.#configure();
        const callers = this.mesh.hosts.map(({ name }) => this.#call(name));
        const random = (stream: number): () => number => seededRandom(this.seed * 100 + stream);
        const streams = Array.from({ length: DISTURBANCE_STREAMS }, (_, index) => this.#disturb(random(index)));
        await pause(seconds * 1000);
        this.#isRunning = false;
        await Promise.all([...callers, ...streams]);
        this.#agent.destroy();
        return this.#counts();
    }

    #counts(): SoakCounts {
        const runsOf = new Map<string, number>();
        this.mesh.instanceLines.filter(line => line.startsWith("R ")).forEach(line => {
            const id = line.slice(2);
            runsOf.set(id, (runsOf.get(id) ?? 0) + 1);
        });
        const idsOf = (isBroken: (ended: Ended, runs: number) => boolean): string[] =>
            this.#ended.filter(ended => isBroken(ended, runsOf.get(ended.id) ?? 0)).map(({ id }) => id);
        return {
            sent: this.#ended.length,
            answered: idsOf(({ end }) => end === 200).length,
            refusedConnections: idsOf(({ end }) => end === "refused").length,
            unread: idsOf(({ end }, runs) => end === "closed" && runs === 0).length,
            gaveUp: idsOf(({ end }) => end === "gave-up").length,
            stops: this.#stops,
            lost: idsOf(({ end }, runs) => end === "closed" && runs > 0),
            ranTwice: idsOf(({ isOnce }, runs) => isOnce && runs > 1),
            refusedThoughRun: idsOf(({ isOnce, end }, runs) => isOnce && end === 503 && runs > 0),
            badExits: this.#badExits,
            badExitTimes: this.#badExitTimes,
            badStops: this.mesh.log.filter(line => line.includes("The daemon has stopped.") && !isCleanStop(line)),
        };
    }

    /** Sends requests through one daemon, on connections that are kept open, also while the daemon stops. */
    async #call(name: string): Promise<void> {
        const pending = new Set<Promise<void>>();
        for (let index = 0; this.#isRunning; index++) {
            const sent = this.#send(name, `${name}-${index}`, index % 3 === 0);
            pending.add(sent);
            void sent.then(() => pending.delete(sent));
            await pause(SEND_EVERY_MS);
        }
        await Promise.all(pending);
    }

    async #send(name: string, id: string, isOnce: boolean): Promise<void> {
        const path = isOnce ? "/soak-fees/1" : "/soak-pages/1";
        const end = await this.#request(name, isOnce ? "POST" : "GET", path, id);
        this.#ended.push({ id, isOnce, end });
    }

    #request(name: string, method: string, path: string, id: string): Promise<End> {
        const host = this.mesh.host(name).ip;
        const headers = { "host": "site.example", "attempt-id": id, "deadline-ms": String(TIME_LIMIT_MS) };
        return new Promise(resolve => {
            const req = request({ host, port: INGRESS_PORT, method, path, headers, agent: this.#agent }, res => {
                res.resume().on("error", () => resolve("closed"));
                res.on("close", () => resolve(res.complete ? res.statusCode! : "closed"));
            });
            req.setTimeout(GIVE_UP_MS, () => {
                resolve("gave-up");
                req.destroy();
            });
            req.on(
                "error",
                ({ code }: NodeJS.ErrnoException) => resolve(code === "ECONNREFUSED" ? "refused" : "closed"),
            );
            req.end(method === "GET" ? undefined : "body");
        });
    }

    async #disturb(random: () => number): Promise<void> {
        const kinds = [
            () => this.#stop(random),
            () => this.#stop(random),
            () => this.#reload(random),
            () => this.#configure(),
            () => this.#changeWork(random),
        ];
        while (this.#isRunning) {
            await kinds[Math.floor(random() * kinds.length)]!();
            await pause(MAX_PAUSE_MS * random());
        }
    }

    #pickHost(random: () => number): string {
        return this.mesh.hosts[Math.floor(random() * this.mesh.hosts.length)]!.name;
    }

    /** Stops a daemon, with further signals during the stop, and starts its successor. */
    async #stop(random: () => number): Promise<void> {
        const name = this.#pickHost(random);
        if (this.#stopping.has(name)) {
            return;
        }
        this.#stopping.add(name);
        this.#stops += 1;
        const daemon = this.mesh.daemons.get(name)!;
        const startedAt = performance.now();
        const samples = new SchedulerSamples(daemon.pid);
        const ended = daemon.end("SIGTERM", GRACE_S * 1000);
        for (let signals = Math.floor(4 * random()); signals > 0 && daemon.running; signals--) {
            await pause(MAX_PAUSE_MS * random());
            daemon.signal(random() < 0.5 ? "SIGTERM" : "SIGHUP");
        }
        const code = await ended;
        const times = samples.stop();
        const tookMs = Math.round(performance.now() - startedAt);
        if (code !== 0) {
            this.#badExits.push(`${name}: ${code} after ${tookMs} ms`);
            this.#badExitTimes.push(`${name}: ${times}`);
        }
        await this.mesh.startDaemon(name).ready();
        this.#stopping.delete(name);
    }

    async #reload(random: () => number): Promise<void> {
        const name = this.#pickHost(random);
        for (let signals = 1 + Math.floor(4 * random()); signals > 0 && !this.#stopping.has(name); signals--) {
            this.mesh.daemons.get(name)!.signal("SIGHUP");
            await pause(MAX_PAUSE_MS * random() / 4);
        }
    }

    async #changeWork(random: () => number): Promise<void> {
        await this.mesh.controlInstance(this.#pickHost(random), { workMs: Math.round(MAX_WORK_MS * random()) });
    }

    #configure(): Promise<void> {
        this.#revision += 1;
        const rules = ["pages", "fees"].map(service => ({
            name: `soak-${service}`,
            host: "site.example",
            pathPrefix: `/soak-${service}/`,
            kind: service === "fees" ? "once" : "repeatable",
            timeLimitMs: TIME_LIMIT_MS - this.#revision % 3 * 100,
            targetMs: 500,
            priority: 1,
            service,
            maxTries: 2,
        }));
        return this.mesh.configure(platformConfiguration(this.#revision, rules));
    }
}
