/** Decodes the reason in a peer's refusal. */
import type { Reason } from "./reason.js";
import { reasons } from "./reasons.js";

/**
 * Returns the reason, `no-reason` if there is none, or `unknown-reason` for a text that this version does not know,
 * which a newer peer may send.
 */
export function decodeReason(text: string | undefined): Reason {
    if (text === undefined) {
        return "no-reason";
    }
    return Object.hasOwn(reasons, text) ? text as Reason : "unknown-reason";
}
