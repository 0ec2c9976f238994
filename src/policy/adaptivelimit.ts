/** Shrinks when the upstream slows, and ramps up from a cold start. */
import type { ServiceTimes } from "./servicetimes.js";
import { SlotLimit } from "./slotlimit.js";

/** The upstream is slow when its fast average is this many times the slow one. */
const SLOW_RATIO = 2;
/** Never fewer than this share of the slots, so that it can show that it is well again. */
const FLOOR_SHARE = 0.34;
/** Share of the slots that a cold upstream starts with; each answer opens another slot. */
const COLD_SHARE = 0.5;

/** The gate's limit for one upstream. */
export class AdaptiveLimit extends SlotLimit {
    #opened: number;

    constructor(private readonly slots: number, private readonly times: ServiceTimes) {
        super();
        this.#opened = Math.max(1, Math.ceil(slots * COLD_SHARE));
    }

    current(): number {
        const share = Math.min(1, SLOW_RATIO / this.times.slowdown());
        const limit = Math.max(this.slots * FLOOR_SHARE, this.slots * share);
        return Math.max(1, Math.min(this.#opened, Math.round(limit)));
    }

    observe(): void {
        this.#opened = Math.min(this.slots, this.#opened + 1);
    }
}
