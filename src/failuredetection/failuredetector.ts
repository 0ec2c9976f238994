/**
 * Asks gates that owe answers and are silent, and suspects those that stay so.
 *
 * Owns the timer and the pings; when to ask and when to suspect is decided by policy/failure/livenesscheck.ts.
 */
import type { Message } from "../datagram/message.js";
import type { Address } from "../ids/address.js";
import type { UpstreamTable } from "../ingress/upstreamtable.js";
import type { UpstreamView } from "../ingress/upstreamview.js";
import { availableTargets } from "../policy/placement/availabletargets.js";
import type { Clock } from "../time/clock.js";
import { Ticker } from "../time/ticker.js";

/** A third of the time after which a ping counts as unanswered. */
const TICK_MS = 50;
/** Gates that were never asked are asked one after the other, ten a second. */
const INTRODUCE_EVERY_MS = 100;

/** What the pinger needs of its daemon. */
type PingerDependencies = {
    readonly self: Address;
    readonly clock: Clock;
    readonly upstreams: UpstreamTable;
    readonly send: (to: Address, message: Message) => boolean;
};

/**
 * Looks at the upstreams that requests are sent to, but those beside this daemon: where there are hundreds, most are sent nothing for
 * seconds, and a look at each one 20 times a second was 4,000 looks a second at a daemon among 195.
 */
export class FailureDetector {
    readonly #answersPings = new Set<Address>();
    readonly #ticker = new Ticker(TICK_MS, () => this.#tick());
    #introducedAt = 0;

    constructor(private readonly deps: PingerDependencies) {}

    start(): void {
        this.#ticker.start();
    }

    stop(): void {
        this.#ticker.stop();
    }

    /** Records the answer to a ping. */
    receivePong(pong: Extract<Message, { type: "pong"; }>): void {
        const now = this.deps.clock();
        this.#answersPings.add(pong.from);
        for (const view of this.deps.upstreams.atGate(pong.from)) {
            view.recordAlive(now);
            view.recordReport(pong.loads.find(load => load.upstream === view.upstream)?.report, now);
        }
    }

    #tick(): void {
        const now = this.deps.clock();
        for (const view of this.deps.upstreams.monitored) {
            this.#check(view, now);
        }
    }

    #check(view: UpstreamView, now: number): void {
        const known = {
            outstanding: view.outstanding,
            serviceMs: view.report?.serviceMs ?? 0,
            answersPings: this.#answersPings.has(view.settings.gate),
            isSuspected: view.suspicion.isSuspected,
        };
        if (view.local || view.livenessCheck.isIdle(known)) {
            this.deps.upstreams.stopMonitoring(view);
            return;
        }
        const action = view.livenessCheck.decide(known, now);
        if (action.type === "suspect") {
            view.suspect(now, this.#hasAlternative(view, now));
        }
        else if (action.type === "ping" && (action.why !== "never-asked" || this.#mayIntroduce(now))) {
            this.#ping(view, now);
        }
    }

    #ping(view: UpstreamView, now: number): void {
        if (this.deps.send(view.settings.gate, { type: "ping", from: this.deps.self, sentAt: now })) {
            view.livenessCheck.recordPing(now);
        }
    }

    /** Attempts at a silent gate are given up only for something better: when all are silent, it is the hosts that are. */
    #hasAlternative(view: UpstreamView, now: number): boolean {
        const all = this.deps.upstreams.ofService(view.settings.service);
        return availableTargets(all, new Set([view]), now).length > 0;
    }

    #mayIntroduce(now: number): boolean {
        if (now - this.#introducedAt <= INTRODUCE_EVERY_MS) {
            return false;
        }
        this.#introducedAt = now;
        return true;
    }
}
