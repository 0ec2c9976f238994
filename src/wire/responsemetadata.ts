/** Defines the metadata that a gate sends to an ingress with a response. */
import { z } from "zod";
import { Incarnation } from "../ids/incarnation.js";
import { UpstreamName } from "../ids/upstreamname.js";
import { loadReportSchema } from "./loadreportschema.js";

const ResponseMetadata = z.object({
    incarnation: Incarnation,
    /** The gate's time when the metadata was created. */
    gateTime: z.number(),
    /** Revision of the gate's configuration. */
    revision: z.int().min(0),
    report: loadReportSchema.optional(),
    /** Time from the request's arrival at the gate to the creation of the metadata. */
    tookMs: z.number().min(0).optional(),
    /** Present if the gate has no response of the upstream. */
    outcome: z.enum(["not-run", "unknown"]).optional(),
    reason: z.string().max(64).optional(),
    retryAfterMs: z.number().min(0).optional(),
    /** Upstream to which the ingress should redirect a handed-back request, and the id of the slot offer there. */
    goTo: UpstreamName.optional(),
    offer: z.string().max(64).optional(),
    /** The upstream's response has no length and ends with its connection; the ingress must forward it the same way. */
    unframed: z.boolean().optional(),
    /** The upstream made calls of its own while it ran this request. */
    calls: z.boolean().optional(),
    /** A call that the upstream made while it ran this request failed although it was retried. */
    retriedBelow: z.boolean().optional(),
    /** The request was sent to the upstream, but there is no response to forward. */
    arrived: z.boolean().optional(),
    /** The upstream's stated rate limit in requests a second, while it states one. */
    limitPerSecond: z.number().min(0).optional(),
    /** The upstream has reported that it is leaving permanently. */
    ending: z.boolean().optional(),
    /** The daemon responds to probes of connections; sent with the first response on each connection. */
    probes: z.boolean().optional(),
    /** The daemon asks for bodies that are sent on demand; sent with `probes` and in responses to probes. */
    bodiesOnDemand: z.boolean().optional(),
});
type ResponseMetadata = z.infer<typeof ResponseMetadata>;

/** The metadata of one response; times in milliseconds. */
export { ResponseMetadata };
