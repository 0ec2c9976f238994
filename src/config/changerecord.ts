/** Defines the record of an accepted change, which the document keeps so that a retried change is not applied twice. */
import { z } from "zod";
import { ChangeId } from "../ids/changeid.js";

const ChangeRecord = z.strictObject({ id: ChangeId, revision: z.int().min(1) });
type ChangeRecord = z.infer<typeof ChangeRecord>;

/** Holds a change's id and the revision that the change produced. */
export { ChangeRecord };
