/** Where a daemon is. */
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";

/** A daemon by its peer address, and its data hall. */
export type Place = { readonly gate: Address; readonly hall: HallName; };
