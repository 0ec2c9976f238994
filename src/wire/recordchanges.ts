/** What has changed in a daemon's list of daemons. */
import { z } from "zod";
import { Address } from "../ids/address.js";
import { Member } from "./member.js";
import { RecordsMark } from "./recordsmark.js";

const RecordChanges = z.object({
    mark: RecordsMark,
    /** These are all that there are, in place of what has changed. */
    complete: z.boolean(),
    members: z.array(Member),
    /** Daemons that have gone since; none where the list is complete. */
    gone: z.array(Address),
});
type RecordChanges = z.infer<typeof RecordChanges>;

/** From the mark that was asked for to `mark`. */
export { RecordChanges };
