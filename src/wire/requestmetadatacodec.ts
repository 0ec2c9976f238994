/** Encodes the metadata of a request for the wire. */
import { Priority } from "../config/priority.js";
import { RequestKind } from "../config/requestkind.js";
import { ResponseMode } from "../config/responsemode.js";
import { arrivalSchema } from "./arrivalschema.js";
import { RecordCodec } from "./recordcodec.js";

/** Order and encoding of the fields that requestmetadata.ts describes. */
export const requestMetadataCodec = new RecordCodec([
    { name: "id" },
    { name: "upstream" },
    { name: "kind", encoding: RequestKind.options },
    { name: "priority", encoding: Priority.options },
    { name: "remainingMs", encoding: "time" },
    { name: "maxWaitMs", encoding: "time" },
    { name: "revision" },
    { name: "from" },
    { name: "choices" },
    { name: "nearChoices" },
    { name: "incarnation" },
    { name: "gateTime", encoding: "time" },
    { name: "depth", defaultValue: 0 },
    { name: "team", defaultValue: "none" },
    { name: "answer", encoding: ResponseMode.options, defaultValue: "whole" },
    { name: "offer" },
    { name: "arrival", encoding: arrivalSchema.options, defaultValue: "first" },
    { name: "limitPerSecond" },
    { name: "answersCallerChecks" },
]);
