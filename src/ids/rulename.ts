/** Defines the name of a rule. */
import { z } from "zod";
import { configuredNamePattern } from "./configurednamepattern.js";

const RuleName = z.string().regex(
    configuredNamePattern,
    "must be 1 to 253 printable ASCII characters, without a blank at either end",
).brand("RuleName");
type RuleName = z.infer<typeof RuleName>;

/** The name of a rule. */
export { RuleName };
