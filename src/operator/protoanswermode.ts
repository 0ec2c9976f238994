/** Maps answer modes to the enum of the schema. */
import type { AnswerMode } from "../config/answermode.js";
import { AnswerMode as ProtoAnswerMode } from "../gen/winglock/operator/v1/operator_pb.js";

/** Has no entry for the unspecified value. */
export const protoAnswerMode: Readonly<Record<AnswerMode, ProtoAnswerMode>> = {
    whole: ProtoAnswerMode.WHOLE,
    streamed: ProtoAnswerMode.STREAMED,
};
