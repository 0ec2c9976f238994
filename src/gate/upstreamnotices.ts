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
type NoticeParts = {
    readonly upstream: string;
    readonly clock: Clock;
    readonly dialect: Dialect;
    /** Called when it states a limit, or a lower one than before. */
    readonly onLess: () => void;
    /** Called with each answer that says that it leaves. */
    readonly onLeaving: () => void;
    /** Called with each answer of its health endpoint that does not. */
    readonly onStaying: () => void;
};

/** One for each gate. */
export class UpstreamNotices {
    readonly limit = new RequestLimit();
    /** What could not be read last, so that the log says so once. */
    #unreadable: string | undefined;

    constructor(private readonly parts: NoticeParts) {}

    /** Records an answer of the upstream itself. */
    recordAnswer(headers: HttpHeaders, answer: Parameters<RequestLimit["recordAnswer"]>[1]): void {
        const { clock, dialect, onLeaving, onStaying } = this.parts;
        const stated = dialect.limit(headers);
        this.#unreadable = stated.type === "unreadable" ? this.#warn(stated.text) : undefined;
        this.#change(() => this.limit.recordAnswer(stated, answer, clock()));
        if (dialect.isLeaving(headers)) {
            onLeaving();
        }
        else if (answer.isHealth) {
            onStaying();
        }
    }

    /** Records the limit that the sender of a request has been told, where it has been told one. */
    recordTold(perSecond: number | undefined): void {
        if (perSecond !== undefined) {
            this.#change(() => this.limit.recordTold(perSecond, this.parts.clock()));
        }
    }

    #warn(text: string): string {
        const { upstream, dialect } = this.parts;
        if (text !== this.#unreadable) {
            const field = dialect.requestLimit;
            const sentence = "The upstream's limit can't be read; the same again is not logged.";
            logger.warn(sentence, "what it stated before holds", { upstream, field, text });
        }
        return text;
    }

    #change(apply: () => void): void {
        const before = this.limit.perSecond;
        apply();
        const { perSecond } = this.limit;
        if (perSecond === before) {
            return;
        }
        const sentence = perSecond === undefined
            ? "The upstream states no limit any more."
            : "The upstream states a limit of requests a second.";
        logger.change(sentence, { upstream: this.parts.upstream, perSecond, before });
        if (perSecond !== undefined && perSecond < (before ?? Infinity)) {
            this.parts.onLess();
        }
    }
}
