/** The location of a daemon. */
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";

/** A daemon's peer address and its data hall. */
export type DaemonLocation = { readonly gate: Address; readonly hall: HallName; };
