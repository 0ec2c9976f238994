/** Which frames belong to a body. */
import type { Frame } from "./frame.js";
import { frameType } from "./frametype.js";

const BODY_TYPES: ReadonlySet<number> = new Set([frameType.data, frameType.end, frameType.broken]);

/** True for a part of a body and for its end, whole or broken. */
export function isBodyFrame({ type }: Frame): boolean {
    return BODY_TYPES.has(type);
}
