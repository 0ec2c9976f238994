/** Creates and counts a gate's refusals. */
import { HopError } from "../hop/hoperror.js";
import type { Reason } from "../policy/retry/reason.js";
import { reasons } from "../policy/retry/reasons.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";

/**
 * Creates the error for a refused request. The table in policy/retry/reasons.ts states whether the reason proves that
 * the request has not run; the ledger guarantees it.
 */
export class GateRefusals {
    #count = 0;

    /**
     * `createMetadata` creates response metadata with the gate's current load. `onHeldBack` is called for each request
     * that is refused because of the rate at which the upstream may be sent requests.
     */
    constructor(
        private readonly createMetadata: (fields: Partial<ResponseMetadata>) => ResponseMetadata,
        private readonly onHeldBack: (reason: "cold" | "limited") => void = () => {},
    ) {}

    get count(): number {
        return this.#count;
    }

    create(reason: Reason, fields: Partial<ResponseMetadata> = {}): HopError {
        this.#count += 1;
        if (reason === "cold" || reason === "limited") {
            this.onHeldBack(reason);
        }
        const outcome = reasons[reason].proves === "unknown" ? "unknown" : "not-run";
        return new HopError(outcome, reason, this.createMetadata({ outcome, reason, ...fields }));
    }
}
