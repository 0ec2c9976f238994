/** Defines what was collected of a caller's body. */
import type { Readable } from "node:stream";

/**
 * `long`: a body that is longer than `keepBytes`, from its beginning. `evicted`: the body was given up for others.
 * `timeout`: it was unfinished at the deadline. `incomplete`: the caller has left.
 */
export type CollectedBody =
    | { readonly type: "whole"; readonly bytes: Buffer; }
    | { readonly type: "long"; readonly stream: Readable; }
    | { readonly type: "too-large" | "no-memory" | "evicted" | "timeout" | "incomplete"; };
