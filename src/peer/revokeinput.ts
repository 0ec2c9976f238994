/** Defines the input of a call that revokes a request. */
import { z } from "zod";
import { Incarnation } from "../ids/incarnation.js";
import { RequestId } from "../ids/requestid.js";

const RevokeInput = z.object({
    id: RequestId,
    incarnation: Incarnation,
    gateTime: z.number(),
    remainingMs: z.number().min(0),
});
type RevokeInput = z.infer<typeof RevokeInput>;

/** Fields of the request's metadata as sent: its id, the gate's incarnation and time, and the remaining time. */
export { RevokeInput };
