/** Defines a frame of the protocol between daemons. */
import type { frameType } from "./frametype.js";

/** A received frame; `payload` is a view of the buffer that the bytes were received in. */
export type Frame = {
    readonly type: (typeof frameType)[keyof typeof frameType];
    readonly payload: Buffer;
};
