/** A request that waited and is refused after all. */
import type { Refusal } from "./refusal.js";

/** The request, and why. */
export type Refused<Item> = { readonly item: Item; readonly refusal: Refusal; };
