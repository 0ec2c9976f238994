/** What a gate decides on a request that arrives. */
import type { Refusal } from "./refusal.js";

/** Run now, wait in the queue, or be refused at once. */
export type Verdict =
    | { readonly type: "run"; }
    | { readonly type: "wait"; }
    | { readonly type: "refuse"; readonly refusal: Refusal; };
