/** What an operator sets for a service. */
import { z } from "zod";
import { ServiceName } from "../ids/servicename.js";

const DEFAULT_BUFFER_BYTES = 1024 * 1024;
const MAX_BUFFER_BYTES = 16 * 1024 * 1024;
const DEFAULT_MAX_WAIT_MS = 1000;
const MAX_WAIT_MS = 60_000;
const MAX_PATH = 1024;
const DEFAULT_RETRY_RATIO = 0.1;

const Service = z.strictObject({
    name: ServiceName,
    bufferBytes: z.int().min(0).max(MAX_BUFFER_BYTES).default(DEFAULT_BUFFER_BYTES),
    maxWaitMs: z.int().min(0).max(MAX_WAIT_MS).default(DEFAULT_MAX_WAIT_MS),
    healthPath: z.string().max(MAX_PATH).startsWith("/").optional(),
    retryRatio: z.number().min(0).max(1).default(DEFAULT_RETRY_RATIO),
});
type Service = z.infer<typeof Service>;

/** A named group of upstreams; sizes in bytes, times in milliseconds; no `healthPath` means the daemons' own. */
export { Service };
