/** Maps priority classes to the enum of the schema. */
import type { Priority } from "../config/priority.js";
import { Priority as ProtoPriority } from "../gen/winglock/operator/v1/operator_pb.js";

/** Has no entry for the unspecified value. */
export const protoPriority: Readonly<Record<Priority, ProtoPriority>> = {
    urgent: ProtoPriority.URGENT,
    normal: ProtoPriority.NORMAL,
    background: ProtoPriority.BACKGROUND,
};
