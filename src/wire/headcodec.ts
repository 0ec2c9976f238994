/** A CallHead on the wire. */
import { AnswerMode } from "../config/answermode.js";
import { Kind } from "../config/kind.js";
import { Priority } from "../config/priority.js";
import { arrivalSchema } from "./arrivalschema.js";
import { RecordCodec } from "./recordcodec.js";

/** As callhead.ts describes it. */
export const headCodec = new RecordCodec([
    { name: "id" },
    { name: "upstream" },
    { name: "kind", form: Kind.options },
    { name: "priority", form: Priority.options },
    { name: "remainingMs", form: "time" },
    { name: "maxWaitMs", form: "time" },
    { name: "revision" },
    { name: "from" },
    { name: "choices" },
    { name: "nearChoices" },
    { name: "incarnation" },
    { name: "gateTime", form: "time" },
    { name: "depth", usual: 0 },
    { name: "team", usual: "none" },
    { name: "answer", form: AnswerMode.options, usual: "whole" },
    { name: "offer" },
    { name: "arrival", form: arrivalSchema.options, usual: "first" },
    { name: "limitPerSecond" },
]);
