/** Classes as the schema has them. */
import type { Priority } from "../config/priority.js";
import { Priority as ProtoPriority } from "../gen/winglock/operator/v1/operator_pb.js";

/** By our own name; what is not here is unspecified. */
export const protoPriority: Readonly<Record<Priority, ProtoPriority>> = {
    urgent: ProtoPriority.URGENT,
    normal: ProtoPriority.NORMAL,
    background: ProtoPriority.BACKGROUND,
};
