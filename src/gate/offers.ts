/** Reserves slots of a gate for requests that a sibling hands back. */
import type { Admission } from "../policy/admission/admission.js";
import type { GateRequest } from "./gaterequest.js";

/** Tracks the open offers; each reserves one slot until it is used or withdrawn. */
export class Offers {
    readonly #open = new Set<string>();

    constructor(private readonly admission: Admission<GateRequest>) {}

    /** Reserves a slot; returns false if none is free. */
    create(id: string, now: number): boolean {
        if (!this.admission.reserveSlot(now)) {
            return false;
        }
        this.#open.add(id);
        return true;
    }

    /** Uses an offer, and returns false if it is not open. Its slot stays reserved until the admission takes it. */
    take(id: string | undefined): boolean {
        return id !== undefined && this.#open.delete(id);
    }

    /** Releases the offer's slot; returns false if the offer is not open, as after its use. */
    withdraw(id: string): boolean {
        if (!this.#open.delete(id)) {
            return false;
        }
        this.admission.releaseSlot();
        return true;
    }
}
