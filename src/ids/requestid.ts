/** Defines the id of an attempt. */
import { z } from "zod";

const RequestId = z.string().min(1).max(64).brand("RequestId");
type RequestId = z.infer<typeof RequestId>;

/** The id of one attempt of a request, unique across all daemons and their incarnations. */
export { RequestId };
