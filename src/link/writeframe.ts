/** Writes frames: a byte for the type, four for the payload's length, the payload. */
import type { Frame } from "./frame.js";
import { frameHeadBytes } from "./frameheadbytes.js";

/** A copy of the payload with its head before it. */
export function writeFrame(type: Frame["type"], payload: Buffer): Buffer {
    const frame = Buffer.allocUnsafe(frameHeadBytes + payload.length);
    frame[0] = type;
    frame.writeUInt32BE(payload.length, 1);
    payload.copy(frame, frameHeadBytes);
    return frame;
}
