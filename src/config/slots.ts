/** How many requests an upstream serves at once. */
import { z } from "zod";

/** Far above any upstream that was seen; bounds what is kept for each slot. */
const MAX_SLOTS = 10_000;

const Slots = z.int().min(1).max(MAX_SLOTS);
type Slots = z.infer<typeof Slots>;

/** How many requests an upstream serves at once. */
export { Slots };
