/** Kinds as the schema has them. */
import type { Kind } from "../config/kind.js";
import { Kind as ProtoKind } from "../gen/winglock/operator/v1/operator_pb.js";

/** By our own name; what is not here is unspecified. */
export const protoKind: Readonly<Record<Kind, ProtoKind>> = {
    repeatable: ProtoKind.REPEATABLE,
    once: ProtoKind.ONCE,
};
