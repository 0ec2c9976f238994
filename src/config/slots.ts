/** Validates the number of an upstream's slots. */
import { z } from "zod";

/** Far above the slots of any known upstream; bounds the memory that is used per slot. */
const MAX_SLOTS = 10_000;

const Slots = z.int().min(1).max(MAX_SLOTS);
type Slots = z.infer<typeof Slots>;

/** The number of requests that an upstream serves concurrently. */
export { Slots };
