/** What one daemon tells another of requests that crash upstreams. */
import { z } from "zod";
import { crashLimits } from "../policy/quarantine/crashlimits.js";
import { crashRecordSchema } from "./crashrecordschema.js";
import { RecordsMark } from "./recordsmark.js";

const CrashChanges = z.object({
    /** What has changed at the sender since the receiver was told last; all, where it was not. */
    records: z.array(crashRecordSchema).max(crashLimits.maxRequests),
    /** How far they go. */
    upTo: RecordsMark,
    /** How far the sender has been told by the receiver. */
    have: RecordsMark.optional(),
    /** Of all that the sender knows, as in heartbeats. */
    mark: z.int().optional(),
});
type CrashChanges = z.infer<typeof CrashChanges>;

/** In both directions of an exchange. */
export { CrashChanges };
