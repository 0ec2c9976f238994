/** An ResponseMetadata on the wire. */
import { RecordCodec } from "./recordcodec.js";

const reportCodec = new RecordCodec([
    { name: "running" },
    { name: "waiting" },
    { name: "limit" },
    { name: "serviceMs", form: "time" },
    { name: "baseMs", form: "time" },
    { name: "pace" },
]);

/** As responsemetadata.ts describes it. */
export const noteCodec = new RecordCodec([
    { name: "incarnation" },
    { name: "gateTime", form: "time" },
    { name: "revision" },
    { name: "report", form: reportCodec },
    { name: "tookMs", form: "time" },
    { name: "outcome", form: ["not-run", "unknown"] },
    { name: "reason" },
    { name: "retryAfterMs", form: "time" },
    { name: "goTo" },
    { name: "offer" },
    { name: "retriedBelow", usual: false },
    { name: "unframed", usual: false },
    { name: "calls", usual: false },
    { name: "arrived", usual: false },
    { name: "probes", usual: false },
    { name: "limitPerSecond" },
    { name: "ending", usual: false },
]);
