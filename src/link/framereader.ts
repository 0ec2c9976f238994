/** Splits a stream of bytes into frames. */
import { emptyBuffer } from "./emptybuffer.js";
import type { Frame } from "./frame.js";
import { frameHeadBytes } from "./frameheadbytes.js";
import { frameType } from "./frametype.js";
import { LinkError } from "./linkerror.js";

/** Far above the largest body that is sent within a single frame. */
const MAX_PAYLOAD_BYTES = 32 * 1024 * 1024;
const FRAME_TYPES: ReadonlySet<number> = new Set(Object.values(frameType));

/** Reads the frames of one connection, and keeps the bytes of an incomplete frame. */
export class FrameReader {
    #remainder: Buffer = emptyBuffer;

    /** Adds bytes and returns the frames that they complete; throws a LinkError if a frame's header is invalid. */
    read(chunk: Buffer): Frame[] {
        const bytes = this.#remainder.length === 0 ? chunk : Buffer.concat([this.#remainder, chunk]);
        const frames: Frame[] = [];
        let offset = 0;
        while (bytes.length - offset >= frameHeadBytes) {
            const length = this.#payloadLength(bytes, offset);
            const end = offset + frameHeadBytes + length;
            if (end > bytes.length) {
                break;
            }
            frames.push({
                type: bytes[offset] as Frame["type"],
                payload: bytes.subarray(offset + frameHeadBytes, end),
            });
            offset = end;
        }
        this.#remainder = offset === bytes.length ? emptyBuffer : bytes.subarray(offset);
        return frames;
    }

    #payloadLength(bytes: Buffer, offset: number): number {
        const length = bytes.readUInt32BE(offset + 1);
        if (!FRAME_TYPES.has(bytes[offset]!) || length > MAX_PAYLOAD_BYTES) {
            throw new LinkError("not-a-frame");
        }
        return length;
    }
}
