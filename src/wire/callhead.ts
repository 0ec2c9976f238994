/** What goes with a request from ingress to gate. */
import { z } from "zod";
import { AnswerMode } from "../config/answermode.js";
import { Kind } from "../config/kind.js";
import { Priority } from "../config/priority.js";
import { Incarnation } from "../ids/incarnation.js";
import { RequestId } from "../ids/requestid.js";
import { TeamName } from "../ids/teamname.js";
import { UpstreamName } from "../ids/upstreamname.js";
import { arrivalSchema } from "./arrivalschema.js";

const NO_TEAM = "none" as TeamName;

const CallHead = z.object({
    id: RequestId,
    upstream: UpstreamName,
    kind: Kind,
    priority: Priority,
    team: TeamName.default(NO_TEAM),
    answer: AnswerMode.default("whole"),
    /** Milliseconds left at the time of sending. */
    remainingMs: z.number().min(0),
    maxWaitMs: z.number().min(0),
    depth: z.int().min(0).default(0),
    /** The sender's configuration. */
    revision: z.int().min(0),
    /** The gate's life that the sender means; required for `once`. */
    incarnation: Incarnation.optional(),
    /** The gate's clock at the time of sending, as the sender reckons it: see hop/gateclock.ts. */
    gateTime: z.number().optional(),
    /** How many other upstreams the sender could still send the request to. */
    choices: z.int().min(0).default(0),
    /** Those of them in the sender's own data hall. */
    nearChoices: z.int().min(0).default(0),
    /** An offer of a slot that the sender was told to use. */
    offer: z.string().max(64).optional(),
    /** Where the sender receives load reports, IP:PORT. */
    from: z.string().max(64).optional(),
    arrival: arrivalSchema.default("first"),
    /** Requests a second that the upstream takes, as the sender was told with its answers. */
    limitPerSecond: z.number().min(0).optional(),
});
type CallHead = z.infer<typeof CallHead>;

/** What goes with a request from ingress to gate; times in milliseconds. */
export { CallHead };
