/** Defines whether a request may run more than once. */
import { z } from "zod";

const RequestKind = z.enum(["repeatable", "once"]);
type RequestKind = z.infer<typeof RequestKind>;

/** A `repeatable` request may run more than once; a `once` request runs at most once. */
export { RequestKind };
