/** Reads a reason that a peer gave. */
import type { Reason } from "./reason.js";
import { reasons } from "./reasons.js";

/** `no-reason` for none, `unknown-reason` for a word that this version does not know: the peer may be newer. */
export function decodeReason(word: string | undefined): Reason {
    if (word === undefined) {
        return "no-reason";
    }
    return Object.hasOwn(reasons, word) ? word as Reason : "unknown-reason";
}
