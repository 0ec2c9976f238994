/** Answer modes as the schema has them. */
import type { AnswerMode } from "../config/answermode.js";
import { AnswerMode as ProtoAnswerMode } from "../gen/winglock/operator/v1/operator_pb.js";

/** By our own name; what is not here is unspecified. */
export const protoAnswerMode: Readonly<Record<AnswerMode, ProtoAnswerMode>> = {
    whole: ProtoAnswerMode.WHOLE,
    streamed: ProtoAnswerMode.STREAMED,
};
