/** Ramps up from a cold start. */
import { SlotLimit } from "./slotlimit.js";

/** Share of the slots that a cold upstream starts with; each answer opens another slot. */
const COLD_SHARE = 0.5;

/** The slots that the operator set, opened one by one. */
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
