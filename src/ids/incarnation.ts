/** Defines the id of an incarnation, one run of a daemon's process. */
import { z } from "zod";

const Incarnation = z.string().min(1).max(32).brand("Incarnation");
type Incarnation = z.infer<typeof Incarnation>;

/** A daemon has a new incarnation after each start. */
export { Incarnation };
