/** Defines the id of a change of the configuration. */
import { z } from "zod";
import { namePattern } from "./namepattern.js";

const ChangeId = z.string().regex(namePattern, "must be 1 to 63 letters, digits, dots or hyphens").brand("ChangeId");
type ChangeId = z.infer<typeof ChangeId>;

/** Chosen by the requester of the change. */
export { ChangeId };
