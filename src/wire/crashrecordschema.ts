/** Checks what a peer, or the store, tells of a request under which upstreams have crashed. */
import { z } from "zod";
import { CrashId } from "../ids/crashid.js";
import { RequestKey } from "../ids/requestkey.js";
import { crashLimits } from "../policy/quarantine/crashlimits.js";
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";

const crashes = z.array(CrashId).max(crashLimits.maxCrashesPerRequest);

/** As in policy/quarantine/crashrecord.ts, which knows nothing of schemas. */
export const crashRecordSchema: z.ZodType<CrashRecord> = z.object({
    request: RequestKey,
    crashes,
    cleared: crashes,
    ageMs: z.number().min(0),
});
