/**
 * Is an upstream cold, and may one more request be sent to it?
 *
 * It may turn cold at any moment: at a start, when it returns with its hall, at the end of an evacuation. What it is sent must stay within
 * its bound from that moment on, and nobody tells the gate at once. So all that is sent counts as sent to a cold one until the upstream has
 * been asked and has said that it is not; what was sent before the question is forgotten then. Thus in no second does a cold upstream get more than its
 * bound, whenever it is heard of, and a warm one costs some questions a second.
 *
 * Times are milliseconds on the daemon's clock.
 */
import { RateLimiter } from "../rate/ratelimiter.js";
import type { ColdLimits } from "./coldlimits.js";
import { coldRate } from "./coldrate.js";

/** It is asked no oftener than this, in milliseconds. */
const ASK_EVERY_MS = 20;

/** Of one upstream; one whose service has no limits for cold ones is never held back. */
export class ColdGuard {
    #coldUntil = -Infinity;
    #askedAt = -Infinity;
    #limits: ColdLimits | undefined;
    #rate: RateLimiter | undefined;

    /** `openedAt`: since when the upstream is known here. */
    constructor(private readonly openedAt: number, limits?: ColdLimits) {
        this.setLimits(limits);
    }

    /** Follows the configuration; undefined where the service has no limits for cold upstreams. */
    setLimits(limits: ColdLimits | undefined): void {
        if (JSON.stringify(limits) !== JSON.stringify(this.#limits)) {
            this.#limits = limits;
            this.#rate = limits && new RateLimiter(coldRate(limits));
        }
    }

    /** True while the upstream is cold, as it has said. */
    isCold(now: number): boolean {
        return now < this.#coldUntil;
    }

    /** Requests a second that it may be sent; undefined while that is not bounded. */
    perSecond(now: number): number | undefined {
        return this.isCold(now) ? this.#limits?.perSecond : undefined;
    }

    /** Records that it was asked at `askedAt`, and for how long it says that it is cold; undefined when it does not say. */
    recordAnswer(coldMs: number | undefined, askedAt: number, now: number): void {
        if (this.#limits === undefined) {
            return;
        }
        const leftMs = coldMs ?? Math.max(0, this.openedAt + this.#limits.startMs - now);
        this.#coldUntil = leftMs > 0 ? now + leftMs : -Infinity;
        if (leftMs === 0) {
            this.#rate?.discardBefore(askedAt);
        }
    }

    /** Records that it is being asked. */
    recordQuestion(now: number): void {
        this.#askedAt = now;
    }

    recordSent(now: number): void {
        this.#rate?.recordSent(now);
    }

    isOpen(now: number): boolean {
        return this.opensAt(1, now) <= now;
    }

    /** When so many more may be sent, by what is known. */
    opensAt(count: number, now: number): number {
        return this.#rate?.sendableAt(count, now) ?? now;
    }

    /** True when the upstream should be asked whether it is cold: ahead of the time when no more may be sent. */
    shouldAsk(now: number): boolean {
        return !this.isCold(now) && now - this.#askedAt >= ASK_EVERY_MS && this.#rate?.isMoreThanHalfUsed(now) === true;
    }
}
