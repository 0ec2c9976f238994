/** Generates the key of a team. */
import { randomBytes } from "node:crypto";
import { digestKey } from "../config/digestkey.js";
import type { KeyDigest } from "../ids/keydigest.js";

/** 192 bits can't be guessed. */
const KEY_BYTES = 24;

/** Returns a new key, and its digest, which is all that daemons and the document get. */
export function createTeamKey(): { readonly key: string; readonly digest: KeyDigest; } {
    const key = randomBytes(KEY_BYTES).toString("base64url");
    return { key, digest: digestKey(key) };
}
