/** Maps kinds to the enum of the schema. */
import type { Kind } from "../config/kind.js";
import { Kind as ProtoKind } from "../gen/winglock/operator/v1/operator_pb.js";

/** Has no entry for the unspecified value. */
export const protoKind: Readonly<Record<Kind, ProtoKind>> = {
    repeatable: ProtoKind.REPEATABLE,
    once: ProtoKind.ONCE,
};
