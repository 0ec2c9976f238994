/**
 * Limits the requests sent to an upstream to the rate that it states in its responses.
 *
 * The inputs are the limits in requests a second that responses state and that senders of requests know. Times are
 * milliseconds on the daemon's clock.
 *
 * A degraded upstream states a rate limit in its responses for as long as the limit applies. Its gate is the only way
 * in, so the gate enforces the limit for all daemons together, at an even rate from the first response that states it.
 * Responses on different connections may overtake each other, so one without the limit ends it only if its request was
 * sent after the limit was last stated.
 *
 * A gate that has just started does not know the limit, but hosts that have forwarded such responses do. They send it
 * with each request, and the gate applies it until it receives a response of the upstream itself.
 */
import { RateLimiter } from "./ratelimiter.js";
import type { StatedLimit } from "./statedlimit.js";
import { toRate } from "./torate.js";

/** Time without a request after which the upstream's health endpoint may be probed. */
const HEALTH_PROBE_IDLE_MS = 4000;

/** The time at which a response's request was sent, and whether it was a probe of the health endpoint. */
type ResponseInfo = { readonly sentAt: number; readonly isHealth: boolean; };

/** Holds the rate limit that one upstream states, as its gate knows it. */
export class StatedRateLimiter {
    #perSecond: number | undefined;
    #statedAt = -Infinity;
    #sentAt = -Infinity;
    #limiter: RateLimiter | undefined;
    /** True once the upstream has sent this gate a response that shows whether it states a limit. */
    #hasReceivedResponse = false;
    /** True once the health endpoint has stated the limit, so that a health response without it ends the limit. */
    #isStatedOnHealth = false;

    /** The stated limit in requests a second, or undefined while the upstream states none. */
    get perSecond(): number | undefined {
        return this.#perSecond;
    }

    /** Records the limit that a response states, or that it states none. */
    recordResponse(stated: StatedLimit, { sentAt, isHealth }: ResponseInfo, now: number): void {
        const isStated = stated.type === "perSecond";
        this.#isStatedOnHealth ||= isHealth && isStated;
        const isConclusive = !isHealth || this.#isStatedOnHealth;
        this.#hasReceivedResponse ||= isConclusive;
        if (isStated) {
            const isLater = sentAt > this.#statedAt;
            this.#setPerSecond(
                isLater ? stated.perSecond : Math.min(stated.perSecond, this.#perSecond ?? Infinity),
                now,
            );
            this.#statedAt = now;
        }
        else if (stated.type === "none" && isConclusive && sentAt > this.#statedAt) {
            this.#perSecond = undefined;
            this.#limiter = undefined;
        }
    }

    /** Records the limit that the sender of a request knows; ignored once the upstream itself has responded here. */
    recordPropagated(perSecond: number, now: number): void {
        if (!this.#hasReceivedResponse) {
            this.#setPerSecond(Math.min(perSecond, this.#perSecond ?? Infinity), now);
        }
    }

    /** Records that a request or a probe of the health endpoint is sent. */
    recordSent(now: number): void {
        this.#sentAt = now;
        this.#limiter?.recordSent(now);
    }

    /** Returns when `count` more requests may be sent; not later than `now` if they may be sent at once. */
    sendableAt(count: number, now: number): number {
        return this.#limiter?.sendableAt(count, now) ?? now;
    }

    /** Returns false while a probe of the health endpoint would use up capacity that requests need. */
    mayProbeHealth(now: number): boolean {
        return this.#limiter === undefined
            || now - this.#sentAt >= HEALTH_PROBE_IDLE_MS && this.#limiter.sendableAt(1, now) <= now;
    }

    /**
     * Sets the limit. A new limit starts without a burst, because requests sent before it was known are not counted.
     */
    #setPerSecond(perSecond: number, now: number): void {
        if (this.#limiter === undefined) {
            this.#limiter = new RateLimiter(toRate(perSecond));
            this.#limiter.exhaustBurst(now);
        }
        else if (perSecond !== this.#perSecond) {
            this.#limiter.setRate(toRate(perSecond), now);
        }
        this.#perSecond = perSecond;
    }
}
