/**
 * Limits the requests sent to an upstream that is or may be cold.
 *
 * The inputs are the service's limits for cold upstreams in requests a second and the responses to probes, which report
 * for how many milliseconds the upstream stays cold. Times are milliseconds on the daemon's clock.
 *
 * An upstream may turn cold at any moment: at a start, when it returns with its hall, or at the end of an evacuation.
 * The bound applies from that moment on, but the gate is not notified of it. So every request counts as sent to a cold
 * upstream until a probe reports that the upstream is not cold; the requests sent before that probe are then discarded.
 * Thus a cold upstream gets no more than its bound in any second, however late the gate detects it, and a warm one
 * costs a few probes a second.
 */
import { RateLimiter } from "../rate/ratelimiter.js";
import type { ColdLimits } from "./coldlimits.js";
import { coldRate } from "./coldrate.js";

/** Minimum time between two probes. */
const MIN_PROBE_INTERVAL_MS = 20;

/** Limits the requests to one upstream while its service has limits for cold upstreams. */
export class ColdGuard {
    #coldUntil = -Infinity;
    #probedAt = -Infinity;
    #limits: ColdLimits | undefined;
    #limiter: RateLimiter | undefined;

    /** `knownSince` is when the gate first learned of the upstream. */
    constructor(private readonly knownSince: number, limits?: ColdLimits) {
        this.setLimits(limits);
    }

    /** Applies the limits of the configuration; undefined if the service has no limits for cold upstreams. */
    setLimits(limits: ColdLimits | undefined): void {
        if (JSON.stringify(limits) !== JSON.stringify(this.#limits)) {
            this.#limits = limits;
            this.#limiter = limits && new RateLimiter(coldRate(limits));
        }
    }

    /** Returns true while the upstream is cold by its last report. */
    isCold(now: number): boolean {
        return now < this.#coldUntil;
    }

    /** Returns the requests a second that the upstream may be sent, or undefined while the rate is not bounded. */
    perSecond(now: number): number | undefined {
        return this.isCold(now) ? this.#limits?.perSecond : undefined;
    }

    /**
     * Records the response to a probe sent at `probedAt`. `coldMs` is the time left until the upstream is warm, or
     * undefined if it does not report one.
     */
    recordProbeResponse(coldMs: number | undefined, probedAt: number, now: number): void {
        if (this.#limits === undefined) {
            return;
        }
        const remainingMs = coldMs ?? Math.max(0, this.knownSince + this.#limits.startMs - now);
        this.#coldUntil = remainingMs > 0 ? now + remainingMs : -Infinity;
        if (remainingMs === 0) {
            this.#limiter?.discardBefore(probedAt);
        }
    }

    /** Records that a probe is sent. */
    recordProbe(now: number): void {
        this.#probedAt = now;
    }

    recordSent(now: number): void {
        this.#limiter?.recordSent(now);
    }

    canSend(now: number): boolean {
        return this.sendableAt(1, now) <= now;
    }

    /** Returns when `count` more requests may be sent. */
    sendableAt(count: number, now: number): number {
        return this.#limiter?.sendableAt(count, now) ?? now;
    }

    /** Returns true if the upstream should be probed; this is so before the last request that may be sent. */
    shouldProbe(now: number): boolean {
        return !this.isCold(now) && now - this.#probedAt >= MIN_PROBE_INTERVAL_MS
            && this.#limiter?.isMoreThanHalfUsed(now) === true;
    }
}
