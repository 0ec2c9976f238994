/** Defines the kinds of requests that a rule can state. */
import { z } from "zod";

const RuleKind = z.enum(["repeatable", "once", "upload"]);
type RuleKind = z.infer<typeof RuleKind>;

/** `upload` requests run at most once and have large bodies; `repeatable` and `once` are those of RequestKind. */
export { RuleKind };
