/** Defines the metadata that an ingress sends to a gate with a request. */
import { z } from "zod";
import { Priority } from "../config/priority.js";
import { RequestKind } from "../config/requestkind.js";
import { ResponseMode } from "../config/responsemode.js";
import { Incarnation } from "../ids/incarnation.js";
import { RequestId } from "../ids/requestid.js";
import { TeamName } from "../ids/teamname.js";
import { UpstreamName } from "../ids/upstreamname.js";
import { arrivalSchema } from "./arrivalschema.js";

const NO_TEAM = "none" as TeamName;

const RequestMetadata = z.object({
    /** Identifies the attempt. */
    id: RequestId,
    upstream: UpstreamName,
    kind: RequestKind,
    priority: Priority,
    team: TeamName.default(NO_TEAM),
    answer: ResponseMode.default("whole"),
    /** Time to the request's deadline when the request was sent. */
    remainingMs: z.number().min(0),
    /** Maximum time in the gate's queue. */
    maxWaitMs: z.number().min(0),
    /** Number of calls in the chain that led to the request. */
    depth: z.int().min(0).default(0),
    /** Revision of the sender's configuration. */
    revision: z.int().min(0),
    /** Incarnation of the gate for which the request is meant; required for `once`. */
    incarnation: Incarnation.optional(),
    /** The gate's time when the request was sent, as estimated by the sender; see hop/gateclock.ts. */
    gateTime: z.number().optional(),
    /** Number of other upstreams to which the sender could still send the request. */
    choices: z.int().min(0).default(0),
    /** Number of these upstreams in the sender's own data hall. */
    nearChoices: z.int().min(0).default(0),
    /** Id of the slot offer that the sender was directed to. */
    offer: z.string().max(64).optional(),
    /** Address at which the sender receives load reports, IP:PORT. */
    from: z.string().max(64).optional(),
    arrival: arrivalSchema.default("first"),
    /** The upstream's stated rate limit in requests a second, as known to the sender from earlier responses. */
    limitPerSecond: z.number().min(0).optional(),
    /** True if the sender can be asked whether the caller is still there. */
    answersCallerChecks: z.boolean().optional(),
});
type RequestMetadata = z.infer<typeof RequestMetadata>;

/** The metadata of one attempt; times in milliseconds. */
export { RequestMetadata };
