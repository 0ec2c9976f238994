/** Defines how a response is passed on to the caller. */
import { z } from "zod";

const ResponseMode = z.enum(["whole", "streamed"]);
type ResponseMode = z.infer<typeof ResponseMode>;

/**
 * - `whole`: the response is received in full before its first byte is sent to the caller.
 * - `streamed`: each part of the response is passed on as it arrives.
 */
export { ResponseMode };
