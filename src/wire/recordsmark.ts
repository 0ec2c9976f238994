/** How far a daemon's list of daemons has come. */
import { z } from "zod";
import { Incarnation } from "../ids/incarnation.js";

const RecordsMark = z.object({
    /** Marks of two lives can't be compared. */
    life: Incarnation,
    /** Rises with each change of the list within one life. */
    at: z.int().min(0),
});
type RecordsMark = z.infer<typeof RecordsMark>;

/** Told in heartbeats; whoever has another one asks for the changes. */
export { RecordsMark };
