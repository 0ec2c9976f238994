/**
 * Decides when the request rate allows one more request to an upstream.
 *
 * Two limits bound the rate: that of an upstream that is or may be cold (policy/cold), and the rate limit that the
 * upstream states. Each counts all requests sent, and the stricter one applies. Times are milliseconds on the daemon's
 * clock.
 */
import type { Priority } from "../../config/priority.js";
import type { ColdGuard } from "../cold/coldguard.js";
import { PriorityRates } from "./priorityrates.js";
import type { StatedRateLimiter } from "./statedratelimiter.js";

/** Combines the rate limits of one upstream, as its gate knows them. */
export class SendRate {
    readonly #priorityRates = new PriorityRates();

    constructor(private readonly coldGuard: ColdGuard, private readonly statedLimit: StatedRateLimiter) {}

    /** True while the upstream states a limit; its service times are not typical then. */
    get isLimited(): boolean {
        return this.statedLimit.perSecond !== undefined;
    }

    /** Returns the requests a second that the upstream may be sent, or undefined while the rate is not bounded. */
    perSecond(now: number): number | undefined {
        const bounds = [this.coldGuard.perSecond(now), this.statedLimit.perSecond].filter(rate => rate !== undefined);
        return bounds.length === 0 ? undefined : Math.min(...bounds);
    }

    /** Records that a request has arrived at the gate, whether or not it is sent. */
    recordArrival(priority: Priority, now: number): void {
        this.#priorityRates.recordArrival(priority, now);
    }

    recordSent(priority: Priority, now: number): void {
        this.coldGuard.recordSent(now);
        this.statedLimit.recordSent(now);
        if (this.statedLimit.perSecond !== undefined) {
            this.#priorityRates.recordSent(priority, this.statedLimit.perSecond, now);
        }
    }

    canSend(now: number): boolean {
        return this.sendableAt(1, now) <= now;
    }

    /** Returns when a request of the priority may be sent, given what more urgent ones leave of the stated limit. */
    sendableForPriorityAt(priority: Priority, now: number): number {
        const { perSecond } = this.statedLimit;
        return perSecond === undefined ? now : this.#priorityRates.nextSendAt(priority, perSecond, now);
    }

    /** Returns when both limits allow `count` more requests. */
    sendableAt(count: number, now: number): number {
        return Math.max(this.coldGuard.sendableAt(count, now), this.statedLimit.sendableAt(count, now));
    }

    /** Returns which of the two limits holds a request back for longer. */
    reason(now: number): "cold" | "limited" {
        return this.isLimited && this.statedLimit.sendableAt(1, now) >= this.coldGuard.sendableAt(1, now)
            ? "limited"
            : "cold";
    }
}
