/** A baseline: the slots that the operator set. */
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
