/**
 * Defines the digest of a request's method, host, path, caller and body, which is the same when a caller sends the
 * request again.
 */
import { z } from "zod";

/** Length of a 64-bit digest in base64url. */
const LENGTH = 11;

const RequestKey = z.string().length(LENGTH).brand("RequestKey");
type RequestKey = z.infer<typeof RequestKey>;

/** The request can't be recovered from the digest, so it may be logged and stored. */
export { RequestKey };
