/** Limits the requests that run at a time: opens the slots that operators set one by one after a start. */
import { SlotLimit } from "./slotlimit.js";

/** Share of the slots that are open at the start; three quarters brought no improvement (docs/EXPERIMENTS.md). */
const INITIAL_SHARE = 0.5;

/** Opens one more slot with each response. */
export class RampLimit extends SlotLimit {
    #openSlots: number;

    constructor(private readonly slots: number) {
        super();
        this.#openSlots = Math.max(1, Math.ceil(slots * INITIAL_SHARE));
    }

    current(): number {
        return this.#openSlots;
    }

    observe(): void {
        this.#openSlots = Math.min(this.slots, this.#openSlots + 1);
    }
}
