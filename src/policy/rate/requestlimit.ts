/**
 * How many requests a second does an upstream take, by its own answers, and may one more be sent?
 *
 * An upstream in need states a limit in its answers, for as long as it holds. Its gate is the only way in, so it holds the limit for all
 * daemons together: at an even rate from the first answer on that states it. Answers overtake each other on several connections; one without
 * the limit ends it only if its request was sent after the limit was last stated.
 *
 * A gate that has just started knows nothing of it, while hosts that have passed on such answers do. They say so with each request, and that
 * holds until the upstream itself has answered here. Times are milliseconds on the daemon's clock.
 */
import { EvenRate } from "./evenrate.js";
import { rateOf } from "./rateof.js";
import type { StatedLimit } from "./statedlimit.js";

/** Without a request for so long, the upstream's health endpoint may be asked; milliseconds. */
const QUIET_MS = 4000;

/** An answer of the upstream: when its request was sent, and whether that was a question to its health endpoint. */
type Answer = { readonly sentAt: number; readonly isHealth: boolean; };

/** Of one upstream, as its gate knows it. */
export class RequestLimit {
    #perSecond: number | undefined;
    #statedAt = -Infinity;
    #sentAt = -Infinity;
    #rate: EvenRate | undefined;
    /** The upstream itself has answered a request here. */
    #isAnswered = false;
    /** Its health endpoint states the limit too, so that its silence says something. */
    #isOnHealth = false;

    /** Requests a second that it takes; undefined while it states no limit. */
    get perSecond(): number | undefined {
        return this.#perSecond;
    }

    /** Records what an answer says. */
    recordAnswer(stated: StatedLimit, { sentAt, isHealth }: Answer, now: number): void {
        const isStated = stated.type === "perSecond";
        this.#isOnHealth ||= isHealth && isStated;
        const counts = !isHealth || this.#isOnHealth;
        this.#isAnswered ||= counts;
        if (isStated) {
            const isLater = sentAt > this.#statedAt;
            this.#set(isLater ? stated.perSecond : Math.min(stated.perSecond, this.#perSecond ?? Infinity), now);
            this.#statedAt = now;
        }
        else if (stated.type === "none" && counts && sentAt > this.#statedAt) {
            this.#perSecond = undefined;
            this.#rate = undefined;
        }
    }

    /** Records what the sender of a request has been told; it holds while the upstream has not answered here. */
    recordTold(perSecond: number, now: number): void {
        if (!this.#isAnswered) {
            this.#set(Math.min(perSecond, this.#perSecond ?? Infinity), now);
        }
    }

    /** Records that a request, or a question to its health endpoint, is sent. */
    recordSent(now: number): void {
        this.#sentAt = now;
        this.#rate?.record(now);
    }

    /** When so many more may be sent; not later than `now` when they may be at once. */
    opensAt(count: number, now: number): number {
        return this.#rate?.opensAt(count, now) ?? now;
    }

    /** False while a question to the health endpoint would take the place of a request. */
    mayAskHealth(now: number): boolean {
        return this.#rate === undefined || now - this.#sentAt >= QUIET_MS && this.#rate.opensAt(1, now) <= now;
    }

    /** What was sent before the limit was known is not counted, so nothing is sent at once. */
    #set(perSecond: number, now: number): void {
        if (this.#rate === undefined) {
            this.#rate = new EvenRate(rateOf(perSecond));
            this.#rate.useUp(now);
        }
        else if (perSecond !== this.#perSecond) {
            this.#rate.setRate(rateOf(perSecond), now);
        }
        this.#perSecond = perSecond;
    }
}
