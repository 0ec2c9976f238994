/** Defines what a request presents as its key. */
import type { KeyDigest } from "../../ids/keydigest.js";

/** `malformed`: several key fields, an empty key or one that is too long; such a key belongs to no team. */
export type PresentedKey =
    | { readonly type: "none"; }
    | { readonly type: "malformed"; }
    | { readonly type: "digest"; readonly digest: KeyDigest; };
