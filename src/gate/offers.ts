/** Slots that a gate keeps for requests that a sibling hands back. */
import type { Admission } from "../policy/admission/admission.js";
import type { GateRequest } from "./gaterequest.js";

/** Each offer holds one slot until it is used or withdrawn. */
export class Offers {
    readonly #open = new Set<string>();

    constructor(private readonly admission: Admission<GateRequest>) {}

    /** Holds a slot; false when none is free. */
    create(id: string, now: number): boolean {
        if (!this.admission.hold(now)) {
            return false;
        }
        this.#open.add(id);
        return true;
    }

    /** Uses an offer; the slot stays held until the admission takes it. */
    take(id: string | undefined): boolean {
        return id !== undefined && this.#open.delete(id);
    }

    /** Gives the slot back; false when the offer was used. */
    withdraw(id: string): boolean {
        if (!this.#open.delete(id)) {
            return false;
        }
        this.admission.release();
        return true;
    }
}
