/** One daemon's life: starts its parts, and stops them by plan. */
import { performance } from "node:perf_hooks";
import { log } from "../time/log.js";
import { sleep } from "../time/sleep.js";
import { Assembly } from "./assembly.js";
import { bootstrap } from "./bootstrap.js";
import type { Settings } from "./settings.js";
import { waitIdle } from "./waitidle.js";

const debug = log("daemon");

/** How long peers may still ask what became of requests that they sent. */
const PEER_GRACE_MS = 500;

/** `start` and `stop` are called once each. */
export class Daemon {
    private readonly parts: Assembly;

    constructor(settings: Settings) {
        this.parts = new Assembly(settings);
    }

    /** Listens once a configuration is had or none can be; rejects when an address can't be had. */
    async start(): Promise<void> {
        const { settings, keeper, puller, store } = this.parts;
        await bootstrap(store, settings.seeds, keeper, puller, () => performance.now());
        await this.parts.datagrams.bind(settings.peer);
        await this.parts.peerServer.listen(settings.peer);
        await this.parts.operator.listen(settings.operator);
        await this.parts.ingress.listen(settings.ingress);
        this.parts.membership.start();
        this.parts.pinger.start();
        this.parts.health.start();
        debug("%s is up at revision %d.", settings.host, this.parts.keeper.revision);
    }

    /** Stops by plan: no new work, peers told, what runs is finished; after the time limit the rest is cut. */
    async stop(hurry: AbortSignal): Promise<void> {
        const { lingerMs, limitMs } = this.parts.settings.stop;
        debug("%s stops.", this.parts.settings.host);
        this.parts.operator.unready();
        this.parts.gates.setLeaving("stopping", true);
        this.#tellLeaving();
        this.parts.ingress.wind();
        this.parts.peerServer.wind();
        await sleep(lingerMs, hurry);
        const ingressClosed = this.parts.ingress.close();
        const left = await waitIdle(() => this.#inFlight(), limitMs, hurry);
        if (left > 0) {
            console.error(`winglock:daemon ${left} requests were cut off by the stop.`);
        }
        this.parts.ingress.destroy();
        await ingressClosed;
        await this.#closePeers(hurry);
        this.#endControl();
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
        this.parts.pinger.stop();
        this.parts.relief.stop();
        this.parts.health.stop();
        this.parts.datagrams.close();
        void this.parts.store.close();
        void this.parts.peer.close();
        this.parts.operator.destroy();
    }

    #tellLeaving(): void {
        const upstreams = [...this.parts.gates.all].map(gate => gate.upstream.name);
        for (const peer of this.parts.reporter.senders()) {
            this.parts.datagrams.send(peer, { type: "leave", from: this.parts.self, upstreams });
        }
    }
}
