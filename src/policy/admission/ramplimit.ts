/** How many requests may run at once? The slots that operators set, opened one by one from a cold start. */
import { SlotLimit } from "./slotlimit.js";

/** Of the slots, that a cold upstream starts with; three quarters gave no more (docs/EXPERIMENTS.md, taken back). */
const COLD_SHARE = 0.5;

/** Each answer opens another slot. */
export class RampLimit extends SlotLimit {
    #opened: number;

    constructor(private readonly slots: number) {
        super();
        this.#opened = Math.max(1, Math.ceil(slots * COLD_SHARE));
    }

    current(): number {
        return this.#opened;
    }

    observe(): void {
        this.#opened = Math.min(this.slots, this.#opened + 1);
    }
}
