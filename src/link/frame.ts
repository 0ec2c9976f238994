/** A frame of the protocol between daemons. */
import type { frameType } from "./frametype.js";

/** `payload` is a part of a larger buffer. */
export type Frame = {
    readonly type: (typeof frameType)[keyof typeof frameType];
    readonly payload: Buffer;
};
