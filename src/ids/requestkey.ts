/** What stays the same when a caller sends a request again: a digest of its method, host, path, caller and body. */
import { z } from "zod";

/** Of base64url: 64 bits. */
const CHARACTERS = 11;

const RequestKey = z.string().length(CHARACTERS).brand("RequestKey");
type RequestKey = z.infer<typeof RequestKey>;

/** Holds nothing that can be read back, so that it may stand in logs and be kept. */
export { RequestKey };
