/**
 * How many requests a second does an upstream take, by its own answers?
 *
 * An upstream in need states it in its answers, for as long as it holds. Answers overtake each other on several connections: one without
 * the limit ends it only if its request was sent after the limit was last stated. Times are milliseconds on the daemon's clock.
 */
import type { StatedLimit } from "./statedlimit.js";

/** Of one upstream. */
export class RequestLimit {
    #perSecond: number | undefined;
    #statedAt = -Infinity;

    /** Requests a second that it takes; undefined while it states no limit. */
    get perSecond(): number | undefined {
        return this.#perSecond;
    }

    /** Records what an answer says whose request was sent at `sentAt`. */
    recordAnswer(stated: StatedLimit, sentAt: number, now: number): void {
        if (stated.type === "perSecond") {
            this.#state(stated.perSecond, sentAt, now);
        }
        else if (stated.type === "none" && sentAt > this.#statedAt) {
            this.#perSecond = undefined;
        }
    }

    /** Of two answers that were under way at the same time nobody knows which is the later: the lower limit holds. */
    #state(perSecond: number, sentAt: number, now: number): void {
        const isLater = sentAt > this.#statedAt;
        this.#perSecond = isLater ? perSecond : Math.min(perSecond, this.#perSecond ?? perSecond);
        this.#statedAt = now;
    }
}
