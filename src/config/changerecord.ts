/** The trace that an accepted change leaves in the document. */
import { z } from "zod";
import { ChangeId } from "../ids/changeid.js";

const ChangeRecord = z.strictObject({ id: ChangeId, revision: z.int().min(1) });
type ChangeRecord = z.infer<typeof ChangeRecord>;

/** A change's id and the revision that it made. */
export { ChangeRecord };
