/** One upstream's line of the status. */
import type { Upstream } from "../config/upstream.js";
import type { GateStatus } from "../peer/gatestatus.js";

/** `gate` is undefined when its daemon did not answer. */
export type StatusLine = { readonly upstream: Upstream; readonly gate: GateStatus | undefined; };
