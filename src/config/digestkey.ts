/** Computes the digest under which the document holds a caller's key. */
import { createHash } from "node:crypto";
import type { KeyDigest } from "../ids/keydigest.js";

/** A 128-bit prefix of the hash; keys are random, so a longer one would add no security. */
const HEX_DIGITS = 32;

/** Returns the first digits of the key's SHA-256 in hexadecimal; a string is hashed in UTF-8. */
export function digestKey(key: string | Buffer): KeyDigest {
    return createHash("sha256").update(key).digest("hex").slice(0, HEX_DIGITS) as KeyDigest;
}
