/** Defines whether a request may run more than once. */
import { z } from "zod";

const Kind = z.enum(["repeatable", "once"]);
type Kind = z.infer<typeof Kind>;

/** A `repeatable` request may run more than once; a `once` request runs at most once. */
export { Kind };
