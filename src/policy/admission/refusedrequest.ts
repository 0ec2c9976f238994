/** A request that was queued and is then refused. */
import type { Refusal } from "./refusal.js";

/** The request, and why it is refused. */
export type RefusedRequest<Item> = { readonly item: Item; readonly refusal: Refusal; };
