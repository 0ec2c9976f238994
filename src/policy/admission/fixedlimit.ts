/** Limits the requests that run at a time to the slots that operators set; the baseline for the other policies. */
import { SlotLimit } from "./slotlimit.js";

/** Returns a constant limit. */
export class FixedLimit extends SlotLimit {
    constructor(private readonly slots: number) {
        super();
    }

    current(): number {
        return this.slots;
    }

    observe(): void {}
}
