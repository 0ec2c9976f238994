/** Whether a request may run more than once. */
import { z } from "zod";

const Kind = z.enum(["repeatable", "once"]);
type Kind = z.infer<typeof Kind>;

/** `repeatable` may run again; `once` runs at most once. */
export { Kind };
