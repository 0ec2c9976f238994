/**
 * What an upstream says in its answers about itself: how many requests a second it takes.
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
type NoticeParts = { readonly upstream: string; readonly clock: Clock; readonly dialect: Dialect; };

/** One for each gate. */
export class UpstreamNotices {
    readonly limit = new RequestLimit();
    /** What could not be read last, so that the log says so once. */
    #unreadable: string | undefined;

    constructor(private readonly parts: NoticeParts) {}

    /** Records an answer of the upstream itself; its request was sent at `sentAt`. */
    record(headers: HttpHeaders, sentAt: number): void {
        const { clock, dialect } = this.parts;
        const stated = dialect.limit(headers);
        this.#unreadable = stated.type === "unreadable" ? this.#warn(stated.text) : undefined;
        const before = this.limit.perSecond;
        this.limit.recordAnswer(stated, sentAt, clock());
        this.#logChange(before, this.limit.perSecond);
    }

    #warn(text: string): string {
        const { upstream, dialect } = this.parts;
        if (text !== this.#unreadable) {
            const field = dialect.requestLimit;
            logger.warn(
                "The upstream's limit can't be read; the same again is not logged.",
                "what it stated before holds",
                {
                    upstream,
                    field,
                    text,
                },
            );
        }
        return text;
    }

    #logChange(before: number | undefined, perSecond: number | undefined): void {
        const { upstream } = this.parts;
        if (perSecond === before) {
            return;
        }
        const sentence = perSecond === undefined
            ? "The upstream states no limit any more."
            : "The upstream states a limit.";
        logger.change(sentence, { upstream, perSecond, before });
    }
}
