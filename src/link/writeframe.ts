/** Writes frames: a byte for the type, four for the payload's length, the payload. */
import type { Frame } from "./frame.js";

const HEAD_BYTES = 5;

/** A copy of the payload with its head before it. */
export function writeFrame(type: Frame["type"], payload: Buffer): Buffer {
    const frame = Buffer.allocUnsafe(HEAD_BYTES + payload.length);
    frame[0] = type;
    frame.writeUInt32BE(payload.length, 1);
    payload.copy(frame, HEAD_BYTES);
    return frame;
}
