/** The id of one crash of an upstream: an end that was not planned. */
import { z } from "zod";

const CrashId = z.string().min(1).max(16).brand("CrashId");
type CrashId = z.infer<typeof CrashId>;

/** Given by the daemon beside the upstream; no two crashes have the same. */
export { CrashId };
