/** Distinguishes the frames of streamed bodies from other frames. */
import type { Frame } from "./frame.js";
import { frameType } from "./frametype.js";

const BODY_TYPES: ReadonlySet<number> = new Set([frameType.data, frameType.end, frameType.broken]);

/** Returns true for a part of a streamed body and for its end, whether it is complete or broke off. */
export function isBodyFrame({ type }: Frame): boolean {
    return BODY_TYPES.has(type);
}
