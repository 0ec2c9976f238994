/**
 * May one more request be sent to an upstream now, by its request rate?
 *
 * Two things bound that rate: it is or may be cold (policy/cold), and it states a limit. Each counts all that is sent; the later of both
 * decides. Times are milliseconds on the daemon's clock.
 */
import type { Priority } from "../../config/priority.js";
import type { ColdGuard } from "../cold/coldguard.js";
import { ClassRates } from "./classrates.js";
import type { RequestLimit } from "./requestlimit.js";

/** Of one upstream, as its gate knows it. */
export class SendRate {
    readonly #classes = new ClassRates();

    constructor(private readonly cold: ColdGuard, private readonly limit: RequestLimit) {}

    /** True while the upstream states a limit: how it works now says nothing of other times. */
    get isLimited(): boolean {
        return this.limit.perSecond !== undefined;
    }

    /** Requests a second that it may be sent; undefined while that is not bounded. */
    perSecond(now: number): number | undefined {
        const known = [this.cold.perSecond(now), this.limit.perSecond].filter(rate => rate !== undefined);
        return known.length === 0 ? undefined : Math.min(...known);
    }

    /** Records that a request has come to the gate, whatever becomes of it. */
    recordArrival(priority: Priority, now: number): void {
        this.#classes.recordArrival(priority, now);
    }

    recordSent(priority: Priority, now: number): void {
        this.cold.recordSent(now);
        this.limit.recordSent(now);
        if (this.limit.perSecond !== undefined) {
            this.#classes.recordSent(priority, this.limit.perSecond, now);
        }
    }

    isOpen(now: number): boolean {
        return this.opensAt(1, now) <= now;
    }

    /** When the next request of a class may be sent, by what the more urgent ones leave of a limit. */
    opensForClass(priority: Priority, now: number): number {
        const { perSecond } = this.limit;
        return perSecond === undefined ? now : this.#classes.opensAt(priority, perSecond, now);
    }

    /** When so many more may be sent, by what is known. */
    opensAt(count: number, now: number): number {
        return Math.max(this.cold.opensAt(count, now), this.limit.opensAt(count, now));
    }

    /** What a request that is held back waits for. */
    reason(now: number): "cold" | "limited" {
        return this.isLimited && this.limit.opensAt(1, now) >= this.cold.opensAt(1, now) ? "limited" : "cold";
    }
}
