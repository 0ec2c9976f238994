/** Returns the part of a key's digest by which people tell keys apart. */
import type { KeyDigest } from "../ids/keydigest.js";

/** Distinguishes the keys of a deployment; the digest can't be restored from it. */
const HEX_DIGITS = 8;

/** Returns the first digits of the digest. */
export function fingerprintOf(digest: KeyDigest): string {
    return digest.slice(0, HEX_DIGITS);
}
