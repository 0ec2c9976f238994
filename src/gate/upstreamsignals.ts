/**
 * What an upstream says in its answers about itself: how many requests a second it takes, and whether it leaves.
 *
 * Owns what was said last, and writes the log lines of its changes.
 */
import type { Dialect } from "../dialect/dialect.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import { log } from "../log/log.js";
import { RequestLimit } from "../policy/rate/requestlimit.js";
import type { Clock } from "../time/clock.js";

const logger = log("gate");

/** What the notices need of their gate. */
type SignalParts = {
    readonly upstream: string;
    readonly clock: Clock;
    readonly dialect: Dialect;
    /** Called when it states a limit, or a lower one than before. */
    readonly onLimitLowered: () => void;
    /** Called with each answer that says that it leaves. */
    readonly onLeaving: () => void;
    /** Called with each answer of its health endpoint that does not. */
    readonly onNotLeaving: () => void;
};

/** One for each gate. */
export class UpstreamSignals {
    readonly rateLimit = new RequestLimit();
    /** What could not be read last, so that the log says so once. */
    #lastUnreadable: string | undefined;

    constructor(private readonly parts: SignalParts) {}

    /** Records an answer of the upstream itself. */
    recordResponse(headers: HttpHeaders, exchange: Parameters<RequestLimit["recordAnswer"]>[1]): void {
        const { clock, dialect, onLeaving, onNotLeaving } = this.parts;
        const stated = dialect.limit(headers);
        this.#lastUnreadable = stated.type === "unreadable" ? this.#warnOnce(stated.text) : undefined;
        this.#updateLimit(() => this.rateLimit.recordAnswer(stated, exchange, clock()));
        if (dialect.isLeaving(headers)) {
            onLeaving();
        }
        else if (exchange.isHealth) {
            onNotLeaving();
        }
    }

    /** Records the limit that the sender of a request has been told, where it has been told one. */
    recordPeerLimit(perSecond: number | undefined): void {
        if (perSecond !== undefined) {
            this.#updateLimit(() => this.rateLimit.recordTold(perSecond, this.parts.clock()));
        }
    }

    #warnOnce(text: string): string {
        const { upstream, dialect } = this.parts;
        if (text !== this.#lastUnreadable) {
            const field = dialect.requestLimit;
            const message = "The upstream's limit can't be read; the same again is not logged.";
            logger.warn(message, "what it stated before holds", { upstream, field, text });
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
            ? "The upstream states no limit any more."
            : "The upstream states a limit of requests a second.";
        logger.change(message, { upstream: this.parts.upstream, perSecond, before });
        if (perSecond !== undefined && perSecond < (before ?? Infinity)) {
            this.parts.onLimitLowered();
        }
    }
}
