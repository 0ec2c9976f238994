/** Encodes frames: one byte for the type, four for the payload's length, then the payload. */
import type { Frame } from "./frame.js";
import { frameHeadBytes } from "./frameheadbytes.js";

/** Returns the frame; copies the payload into it. */
export function writeFrame(type: Frame["type"], payload: Buffer): Buffer {
    const frame = Buffer.allocUnsafe(frameHeadBytes + payload.length);
    frame[0] = type;
    frame.writeUInt32BE(payload.length, 1);
    payload.copy(frame, frameHeadBytes);
    return frame;
}
