/**
 * Tracks what an upstream reports about itself in its responses: its rate limit, and whether it is leaving.
 *
 * Owns the rate limit, and logs its changes.
 */
import type { Dialect } from "../dialect/dialect.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import { log } from "../log/log.js";
import { StatedRateLimiter } from "../policy/rate/statedratelimiter.js";
import type { Clock } from "../time/clock.js";

const logger = log("gate");

/** Dependencies and callbacks that the gate provides. */
type SignalDependencies = {
    readonly upstream: string;
    readonly clock: Clock;
    readonly dialect: Dialect;
    /** Called when the upstream states a rate limit, or a lower one than before. */
    readonly onLimitLowered: () => void;
    /** Called for each response that announces that the upstream is leaving. */
    readonly onLeaving: () => void;
    /** Called for each response of the health endpoint that does not announce that the upstream is leaving. */
    readonly onNotLeaving: () => void;
};

/** Tracks the reports of one upstream. */
export class UpstreamSignals {
    readonly rateLimit = new StatedRateLimiter();
    /** The last value that could not be parsed, so that it is logged only once. */
    #lastUnreadable: string | undefined;

    constructor(private readonly deps: SignalDependencies) {}

    /** Records a response that the upstream itself has sent. */
    recordResponse(headers: HttpHeaders, exchange: Parameters<StatedRateLimiter["recordResponse"]>[1]): void {
        const { clock, dialect, onLeaving, onNotLeaving } = this.deps;
        const stated = dialect.limit(headers);
        this.#lastUnreadable = stated.type === "unreadable" ? this.#warnOnce(stated.text) : undefined;
        this.#updateLimit(() => this.rateLimit.recordResponse(stated, exchange, clock()));
        if (dialect.isLeaving(headers)) {
            onLeaving();
        }
        else if (exchange.isHealth) {
            onNotLeaving();
        }
    }

    /** Records the rate limit that the sender of a request knows of, if it knows of one. */
    recordPeerLimit(perSecond: number | undefined): void {
        if (perSecond !== undefined) {
            this.#updateLimit(() => this.rateLimit.recordPropagated(perSecond, this.deps.clock()));
        }
    }

    #warnOnce(text: string): string {
        const { upstream, dialect } = this.deps;
        if (text !== this.#lastUnreadable) {
            const field = dialect.requestLimit;
            const message = "The upstream's stated rate limit can't be read; the same value is not logged again.";
            logger.warn(message, "the previously stated rate limit stays in force", { upstream, field, text });
        }
        return text;
    }

    #updateLimit(apply: () => void): void {
        const before = this.rateLimit.perSecond;
        apply();
        const { perSecond } = this.rateLimit;
        if (perSecond === before) {
            return;
        }
        const message = perSecond === undefined
            ? "The upstream no longer states a rate limit."
            : "The upstream states a rate limit.";
        logger.change(message, { upstream: this.deps.upstream, perSecond, before });
        if (perSecond !== undefined && perSecond < (before ?? Infinity)) {
            this.deps.onLimitLowered();
        }
    }
}
