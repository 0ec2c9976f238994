/** Defines the message with the changes of a daemon's list of members. */
import { z } from "zod";
import { Address } from "../ids/address.js";
import { Member } from "./member.js";
import { RecordsPosition } from "./recordsposition.js";

const RecordChanges = z.object({
    mark: RecordsPosition,
    /** True if `members` has all members, false if it has only those that have changed. */
    complete: z.boolean(),
    members: z.array(Member),
    /** Members that were removed; empty if `complete`. */
    gone: z.array(Address),
});
type RecordChanges = z.infer<typeof RecordChanges>;

/** The changes from the requested position up to `mark`. */
export { RecordChanges };
