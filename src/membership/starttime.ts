/** The time at which an incarnation of an upstream started. */
import { z } from "zod";

const StartTime = z.int().min(0);
type StartTime = z.infer<typeof StartTime>;

/**
 * Unix milliseconds on the upstream's own clock. Distinguishes the incarnations of one upstream and is compared with no
 * other time.
 */
export { StartTime };
