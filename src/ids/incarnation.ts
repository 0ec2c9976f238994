/** The id of one life of a daemon's process, new at each start. */
import { z } from "zod";

const Incarnation = z.string().min(1).max(32).brand("Incarnation");
type Incarnation = z.infer<typeof Incarnation>;

/** The id of one life of a daemon's process, new at each start. */
export { Incarnation };
