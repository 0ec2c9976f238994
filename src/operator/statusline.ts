/** Defines the entry of an upstream in the status that operators query. */
import type { Upstream } from "../config/upstream.js";
import type { GateStatus } from "../peer/gatestatus.js";

/** `gate` is undefined if its daemon did not respond. */
export type StatusLine = { readonly upstream: Upstream; readonly gate: GateStatus | undefined; };
