/** Defines the id of a crash of an upstream, an unplanned end of its process. */
import { z } from "zod";

const CrashId = z.string().min(1).max(16).brand("CrashId");
type CrashId = z.infer<typeof CrashId>;

/** Assigned by the daemon beside the upstream; unique for each crash. */
export { CrashId };
