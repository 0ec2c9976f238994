/** Maps response modes to the enum of the schema. */
import type { ResponseMode } from "../config/responsemode.js";
import { AnswerMode as ProtoResponseMode } from "../gen/winglock/operator/v1/operator_pb.js";

/** Has no entry for the unspecified value. */
export const protoResponseMode: Readonly<Record<ResponseMode, ProtoResponseMode>> = {
    whole: ProtoResponseMode.WHOLE,
    streamed: ProtoResponseMode.STREAMED,
};
