/**
 * How long does a request wait at one upstream, and when should one that is refused come back?
 *
 * By its place among those that wait: 1 is the first. Times are milliseconds on the gate's clock.
 */
import type { Priority } from "../../config/priority.js";
import type { RuleName } from "../../ids/rulename.js";
import type { SendRate } from "../rate/sendrate.js";
import type { RuleTimes } from "./ruletimes.js";
import type { SlotLimit } from "./slotlimit.js";

/** Of a usual service time, added: a caller that comes back just when the queue should have ended mostly finds that it has not. */
const COME_BACK_SHARE = 0.5;

/** By what is known of the upstream's slots, times and rate. */
export class WaitEstimate {
    constructor(
        private readonly limit: SlotLimit,
        private readonly times: RuleTimes,
        private readonly rate: SendRate,
    ) {}

    /** Until the turn of the one in this place. */
    waitMs(place: number, now: number): number {
        const forSlotMs = place * this.times.all.fastMs / this.limit.current();
        return Math.max(forSlotMs, this.forRateMs(place, now));
    }

    /** How much of that is because of the rate at which the upstream may be sent requests. */
    forRateMs(place: number, now: number): number {
        return Math.max(0, this.rate.opensAt(place, now) - now);
    }

    /** Until the next of a class may be sent, by what the more urgent ones leave of a limit. */
    forClassMs(priority: Priority, now: number): number {
        return Math.max(0, this.rate.opensForClass(priority, now) - now);
    }

    /** When one of a rule should come back that would have waited so long. */
    comeBackMs(rule: RuleName | undefined, waitMs: number): number {
        return Math.ceil(waitMs + this.times.usualMs(rule) * COME_BACK_SHARE);
    }
}
