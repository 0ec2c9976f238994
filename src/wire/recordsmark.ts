/** How far a daemon's list has come: of daemons, or of requests that crash upstreams. */
import { z } from "zod";
import { Incarnation } from "../ids/incarnation.js";

const RecordsMark = z.object({
    /** Marks of two lives can't be compared. */
    life: Incarnation,
    /** Rises with each change of the list within one life. */
    at: z.int().min(0),
});
type RecordsMark = z.infer<typeof RecordsMark>;

/** Whoever has an older one asks for the changes. */
export { RecordsMark };
