/** One daemon's life: starts its parts, and stops them by plan. */
import { log } from "../log/log.js";
import { Metrics } from "../metrics/metrics.js";
import { processClock } from "../time/processclock.js";
import { sleep } from "../time/sleep.js";
import { Assembly } from "./assembly.js";
import { bootstrap } from "./bootstrap.js";
import type { Environment } from "./environment.js";
import { ReadinessServer } from "./readinessserver.js";
import type { Settings } from "./settings.js";
import { waitIdle } from "./waitidle.js";

const logger = log("daemon");

/** How long peers may still ask what became of requests that they sent. */
const PEER_GRACE_MS = 500;
/** Until the peers have heard that the gates here take no more work. */
const SPREAD_MS = 100;

/** `start` and `stop` are called once each. */
export class Daemon {
    private readonly parts: Assembly;
    private readonly readiness: ReadinessServer;

    constructor(settings: Settings, surroundings: (settings: Settings, metrics: Metrics) => Environment) {
        const metrics = new Metrics();
        this.parts = new Assembly(settings, surroundings(settings, metrics), metrics);
        this.readiness = new ReadinessServer(() => this.parts.operator.ready);
    }

    /** Listens once a configuration is had or none can be; rejects when an address can't be had. */
    async start(): Promise<void> {
        const { settings, keeper, puller, surroundings, roster } = this.parts;
        const known = bootstrap(surroundings.store, settings.seeds, keeper, puller, processClock);
        if (roster === undefined) {
            await known;
        }
        await this.parts.datagrams.bind(settings.peer);
        await this.parts.peerServer.listen(settings.peer);
        await this.parts.operator.listen(settings.operator);
        await this.parts.ingress.listen(settings.ingress);
        if (settings.readiness !== undefined) {
            await this.readiness.listen(settings.readiness);
        }
        await (roster ?? this.parts.membership).start();
        this.parts.sharing.start();
        this.parts.health.start();
        logger.belief("The daemon is up.", {
            ready: true,
            host: settings.host,
            hall: settings.hall,
            ingress: settings.ingress,
            operator: settings.operator,
            revision: keeper.revision,
            codeCache: process.env["WINGLOCK_CODE_CACHE"],
        });
    }

    /** Stops by plan: callers sent elsewhere, peers told, what runs is finished; after the time limit the rest is cut. */
    async stop(hurry: AbortSignal): Promise<void> {
        const { lingerMs, limitMs } = this.parts.settings.stop;
        logger.belief("The daemon stops.", { host: this.parts.settings.host, inFlight: this.#inFlight() });
        this.parts.operator.unready();
        this.parts.ingress.startClosing();
        await sleep(lingerMs, hurry);
        const endAt = processClock() + limitMs;
        this.#leave();
        await sleep(SPREAD_MS, hurry);
        await waitIdle(() => this.parts.gates.busy(), endAt - processClock(), hurry);
        await this.parts.ingress.close();
        const left = await waitIdle(() => this.#inFlight(), endAt - processClock(), hurry);
        if (left > 0) {
            logger.trouble("Requests were cut off by the stop.", "the time for a stop is up", { left });
            console.error(`winglock:daemon ${left} requests were cut off by the stop.`);
        }
        this.parts.ingress.destroy();
        await this.#closePeers(hurry);
        this.#endControl();
    }

    /**
     * Takes no more work for the upstreams here, and says so. While callers are still on their way elsewhere the gates
     * serve on: the upstreams are well. What runs there may call others through this ingress until it has ended.
     */
    #leave(): void {
        this.parts.sharing.stop();
        void this.parts.roster?.startLeaving();
        this.parts.gates.setClosed("stopping", true);
        this.#tellLeaving();
        this.parts.peerServer.wind();
    }

    /** While it lasts, a peer that sent into a closing connection can still ask what became of the request. */
    async #closePeers(hurry: AbortSignal): Promise<void> {
        this.parts.peerServer.closeIdle();
        await sleep(PEER_GRACE_MS, hurry);
        await waitIdle(() => this.#inFlight(), PEER_GRACE_MS, hurry);
        const closed = this.parts.peerServer.close();
        this.parts.peerServer.destroy();
        await closed;
    }

    #inFlight(): number {
        return this.parts.gates.busy() + this.parts.ingress.inFlight + this.parts.peerServer.inFlight;
    }

    #endControl(): void {
        this.parts.membership.stop();
        this.parts.roster?.stop();
        this.readiness.close();
        this.parts.health.stop();
        this.parts.datagrams.close();
        void this.parts.surroundings.store.close();
        void this.parts.peer.close();
        this.parts.operator.destroy();
    }

    #tellLeaving(): void {
        const upstreams = [...this.parts.gates.all].map(gate => gate.upstream.name);
        for (const peer of this.parts.sharing.reporter.senders()) {
            this.parts.datagrams.send(peer, { type: "leave", from: this.parts.self, upstreams });
        }
    }
}
