/** Maps kinds to the enum of the schema. */
import type { RuleKind } from "../config/rulekind.js";
import { Kind as ProtoRequestKind } from "../gen/winglock/operator/v1/operator_pb.js";

/** Has no entry for the unspecified value. */
export const protoRequestKind: Readonly<Record<RuleKind, ProtoRequestKind>> = {
    repeatable: ProtoRequestKind.REPEATABLE,
    once: ProtoRequestKind.ONCE,
    upload: ProtoRequestKind.UPLOAD,
};
