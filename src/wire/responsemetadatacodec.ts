/** Encodes the metadata of a response for the wire. */
import { RecordCodec } from "./recordcodec.js";

const loadReportCodec = new RecordCodec([
    { name: "running" },
    { name: "waiting" },
    { name: "limit" },
    { name: "serviceMs", encoding: "time" },
    { name: "baseMs", encoding: "time" },
    { name: "pace" },
]);

/** Order and encoding of the fields that responsemetadata.ts describes. */
export const responseMetadataCodec = new RecordCodec([
    { name: "incarnation" },
    { name: "gateTime", encoding: "time" },
    { name: "revision" },
    { name: "report", encoding: loadReportCodec },
    { name: "tookMs", encoding: "time" },
    { name: "outcome", encoding: ["not-run", "unknown"] },
    { name: "reason" },
    { name: "retryAfterMs", encoding: "time" },
    { name: "goTo" },
    { name: "offer" },
    { name: "retriedBelow", defaultValue: false },
    { name: "unframed", defaultValue: false },
    { name: "calls", defaultValue: false },
    { name: "arrived", defaultValue: false },
    { name: "probes", defaultValue: false },
    { name: "limitPerSecond" },
    { name: "ending", defaultValue: false },
    { name: "bodiesOnDemand", defaultValue: false },
]);
