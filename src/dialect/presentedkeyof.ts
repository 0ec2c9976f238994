/** Reads the key that a request presents, as its digest. */
import { digestKey } from "../config/digestkey.js";
import type { PresentedKey } from "../policy/access/presentedkey.js";

/** Longer keys are refused before they are hashed; usual ones have 20 to 64 characters. */
const MAX_KEY_CHARS = 256;

/**
 * Returns the digest of the key, given the values of all key fields of the request. Several fields are malformed, since
 * it would be ambiguous which of them counts. The values have one character for each byte received.
 */
export function presentedKeyOf(values: readonly string[]): PresentedKey {
    if (values.length === 0) {
        return { type: "none" };
    }
    const key = values[0]!;
    if (values.length > 1 || key === "" || key.length > MAX_KEY_CHARS) {
        return { type: "malformed" };
    }
    return { type: "digest", digest: digestKey(Buffer.from(key, "latin1")) };
}
