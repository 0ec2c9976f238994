/** The id of one end of an upstream that was not planned. */
import { z } from "zod";

const CrashId = z.string().min(1).max(16).brand("CrashId");
type CrashId = z.infer<typeof CrashId>;

/** Given by the daemon beside the upstream; no two ends have the same. */
export { CrashId };
