/** Defines the name of a rule. */
import type { z } from "zod";
import { ConfiguredName } from "./configuredname.js";

const RuleName = ConfiguredName.brand("RuleName");
type RuleName = z.infer<typeof RuleName>;

/** The name of a rule. */
export { RuleName };
