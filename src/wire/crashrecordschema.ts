/** Validates a crash record received from a peer or read from the store. */
import { z } from "zod";
import { CrashId } from "../ids/crashid.js";
import { RequestKey } from "../ids/requestkey.js";
import { crashLimits } from "../policy/quarantine/crashlimits.js";
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";

const crashes = z.array(CrashId).max(crashLimits.maxCrashesPerRequest);

/** Schema of the record in policy/quarantine/crashrecord.ts, which does not depend on a schema library. */
export const crashRecordSchema: z.ZodType<CrashRecord> = z.object({
    request: RequestKey,
    crashes,
    cleared: crashes,
    ageMs: z.number().min(0),
});
