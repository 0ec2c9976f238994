/** What goes with an answer from gate to ingress. */
import { z } from "zod";
import { Incarnation } from "../ids/incarnation.js";
import { UpstreamName } from "../ids/upstreamname.js";
import { loadReportSchema } from "./loadreportschema.js";

const ResponseMetadata = z.object({
    incarnation: Incarnation,
    /** The gate's clock when the note was written. */
    gateTime: z.number(),
    revision: z.int().min(0),
    report: loadReportSchema.optional(),
    /** Milliseconds from the request's arrival at the gate to the note. */
    tookMs: z.number().min(0).optional(),
    /** Present when the gate has no upstream's answer to give. */
    outcome: z.enum(["not-run", "unknown"]).optional(),
    reason: z.string().max(64).optional(),
    retryAfterMs: z.number().min(0).optional(),
    /** Where a request that is handed back should go, and the offer it holds there. */
    goTo: UpstreamName.optional(),
    offer: z.string().max(64).optional(),
    /** The upstream's answer has no length: it ends with its connection, and must go on so. */
    unframed: z.boolean().optional(),
    /** The upstream made calls of its own for this request. */
    calls: z.boolean().optional(),
    /** A call that the upstream made for this request failed and was tried again there. */
    retriedBelow: z.boolean().optional(),
    /** The request was sent to the upstream, which gave no answer to pass on. */
    arrived: z.boolean().optional(),
    /** Requests a second that the upstream takes, while it states a limit. */
    limitPerSecond: z.number().min(0).optional(),
    /** The upstream has said that it leaves for good. */
    ending: z.boolean().optional(),
    /** The daemon answers probes of connections; said with the first answer on each. */
    probes: z.boolean().optional(),
});
type ResponseMetadata = z.infer<typeof ResponseMetadata>;

/** What goes with an answer from gate to ingress; times in milliseconds. */
export { ResponseMetadata };
