/** What a gate is asked to revoke. */
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

/** The head of the request as it was sent: its id, the gate's life and clock, and the time that it had left. */
export { RevokeInput };
