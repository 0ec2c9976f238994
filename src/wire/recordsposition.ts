/** Defines a position in a daemon's list of members, or of requests that crash upstreams. */
import { z } from "zod";
import { Incarnation } from "../ids/incarnation.js";

const RecordsPosition = z.object({
    /** Incarnation of the daemon; positions compare only within it. */
    life: Incarnation,
    /** Increases with each change of the list. */
    at: z.int().min(0),
});
type RecordsPosition = z.infer<typeof RecordsPosition>;

/** A daemon with an older position requests the changes since then. */
export { RecordsPosition };
