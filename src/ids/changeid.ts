/** The id of one change of the configuration, chosen by who asks for it. */
import { z } from "zod";
import { namePattern } from "./namepattern.js";

const ChangeId = z.string().regex(namePattern, "must be 1 to 63 letters, digits, dots or hyphens").brand("ChangeId");
type ChangeId = z.infer<typeof ChangeId>;

/** The id of one change of the configuration, chosen by who asks for it. */
export { ChangeId };
