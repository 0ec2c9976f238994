/**
 * Pings gates that do not respond to outstanding requests, and suspects those that do not respond to the pings either.
 * Those that have never responded to a ping are also probed over a connection.
 *
 * Owns the timer, the pings and the probes. policy/failure/livenesscheck.ts decides when to ping and when to suspect a
 * gate.
 */
import type { Message } from "../datagram/message.js";
import type { Address } from "../ids/address.js";
import type { UpstreamTable } from "../ingress/upstreamtable.js";
import type { UpstreamView } from "../ingress/upstreamview.js";
import { log } from "../log/log.js";
import { availableTargets } from "../policy/placement/availabletargets.js";
import type { Clock } from "../time/clock.js";
import { Ticker } from "../time/ticker.js";

const logger = log("health");

/** A third of the ping timeout in policy/failure/livenesscheck.ts. */
const CHECK_INTERVAL_MS = 50;
/** Minimum interval between first pings, which go to gates that have never responded to one: ten a second. */
const FIRST_PING_INTERVAL_MS = 100;
/** The time that a gate has to respond to two pings (policy/failure/livenesscheck.ts). */
const CONNECTION_PROBE_TIMEOUT_MS = 300;

type FailureDetectorDependencies = {
    readonly self: Address;
    readonly clock: Clock;
    readonly upstreams: UpstreamTable;
    readonly send: (to: Address, message: Message) => boolean;
};

/**
 * Monitors the upstreams that requests are sent to, except those beside this daemon.
 *
 * Idle upstreams are not checked, to save CPU time: with hundreds of upstreams, most receive no request for seconds,
 * and a daemon among 195 that checks all of them 20 times a second performs 4,000 checks a second.
 */
export class FailureDetector {
    readonly #pingResponders = new Set<Address>();
    readonly #ticker = new Ticker(CHECK_INTERVAL_MS, () => this.#checkAll());
    #lastFirstPingAt = 0;

    constructor(private readonly deps: FailureDetectorDependencies) {}

    start(): void {
        this.#ticker.start();
    }

    stop(): void {
        this.#ticker.stop();
    }

    /** Records the response to a ping, and the load reports that it carries. */
    receivePong(pong: Extract<Message, { type: "pong"; }>): void {
        const now = this.deps.clock();
        this.#pingResponders.add(pong.from);
        for (const view of this.deps.upstreams.atGate(pong.from)) {
            view.recordAlive(now);
            view.recordReport(pong.loads.find(load => load.upstream === view.upstream)?.report, now);
        }
    }

    #checkAll(): void {
        const now = this.deps.clock();
        for (const view of this.deps.upstreams.monitored) {
            this.#check(view, now);
        }
    }

    #check(view: UpstreamView, now: number): void {
        const input = {
            outstanding: view.outstanding,
            serviceMs: view.report?.serviceMs ?? 0,
            respondsToPings: this.#pingResponders.has(view.settings.gate),
            isSuspected: view.suspicion.isSuspected,
        };
        if (view.local || view.livenessCheck.isIdle(input)) {
            this.deps.upstreams.stopMonitoring(view);
            return;
        }
        const action = view.livenessCheck.decide(input, now);
        if (action.type === "suspect") {
            this.#suspect(view, now);
        }
        else if (action.type === "ping" && (action.why !== "never-asked" || this.#maySendFirstPing(now))) {
            this.#ping(view, now);
            if (action.why === "silent-unknown") {
                void this.#probe(view, now);
            }
        }
    }

    /** Probes a gate over a new connection, and suspects it if it shows no sign of life until the probe's timeout. */
    async #probe(view: UpstreamView, startedAt: number): Promise<void> {
        view.livenessCheck.recordConnectionProbe(startedAt);
        const hasResponded = await view.hop.probe(CONNECTION_PROBE_TIMEOUT_MS);
        const now = this.deps.clock();
        if (hasResponded) {
            view.recordAlive(now);
        }
        else if (!view.livenessCheck.hasResponded(startedAt)) {
            this.#suspect(view, now);
        }
    }

    #suspect(view: UpstreamView, now: number): void {
        const hasAlternative = this.#hasAlternative(view, now);
        if (!view.suspicion.isSuspected) {
            const { upstream, outstanding, settings: { gate } } = view;
            const fields = { upstream, gate, outstanding, hasAlternative };
            logger.change("A gate does not respond; its upstream is suspected.", fields);
        }
        view.suspect(now, hasAlternative);
    }

    #ping(view: UpstreamView, now: number): void {
        if (this.deps.send(view.settings.gate, { type: "ping", from: this.deps.self, sentAt: now })) {
            view.livenessCheck.recordPing(now);
        }
    }

    /**
     * Returns true if the service has another available upstream. Attempts at an unresponsive gate are cancelled only
     * in this case: if all gates are unresponsive, the hosts are the cause, and no other upstream would respond sooner.
     */
    #hasAlternative(view: UpstreamView, now: number): boolean {
        const candidates = this.deps.upstreams.ofService(view.settings.service);
        return availableTargets(candidates, new Set([view]), now).length > 0;
    }

    #maySendFirstPing(now: number): boolean {
        if (now - this.#lastFirstPingAt <= FIRST_PING_INTERVAL_MS) {
            return false;
        }
        this.#lastFirstPingAt = now;
        return true;
    }
}
