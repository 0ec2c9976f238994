/** Defines the message by which daemons exchange records of requests that crash upstreams. */
import { z } from "zod";
import { crashLimits } from "../policy/quarantine/crashlimits.js";
import { crashRecordSchema } from "./crashrecordschema.js";
import { RecordsPosition } from "./recordsposition.js";

const CrashChanges = z.object({
    /** The sender's records that have changed since its last message to the receiver; all of them if there was none. */
    records: z.array(crashRecordSchema).max(crashLimits.maxRequests),
    /** Position in the sender's list up to which the records go. */
    upTo: RecordsPosition,
    /** Position in the receiver's list up to which the sender has received the records. */
    have: RecordsPosition.optional(),
    /** Digest of all records of the sender, as in heartbeats. */
    mark: z.int().optional(),
});
type CrashChanges = z.infer<typeof CrashChanges>;

/** Both sides of an exchange send this message. */
export { CrashChanges };
