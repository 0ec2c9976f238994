/** How many requests may run at once? A baseline: the slots that operators set. */
import { SlotLimit } from "./slotlimit.js";

/** Never changes. */
export class FixedLimit extends SlotLimit {
    constructor(private readonly slots: number) {
        super();
    }

    current(): number {
        return this.slots;
    }

    observe(): void {}
}
