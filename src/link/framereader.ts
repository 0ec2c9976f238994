/** Cuts a stream of bytes into frames. */
import { emptyBuffer } from "./emptybuffer.js";
import type { Frame } from "./frame.js";
import { frameHeadBytes } from "./frameheadbytes.js";
import { frameType } from "./frametype.js";
import { LinkError } from "./linkerror.js";

/** Bodies that are at hand are sent whole up to a bound far below this one. */
const MAX_PAYLOAD_BYTES = 32 * 1024 * 1024;
const TYPES: ReadonlySet<number> = new Set(Object.values(frameType));

/** Of one connection. */
export class FrameReader {
    #rest: Buffer = emptyBuffer;

    /** Adds bytes and returns the frames that they complete; throws a LinkError for bytes that are none. */
    read(chunk: Buffer): Frame[] {
        const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
        const frames: Frame[] = [];
        let at = 0;
        while (bytes.length - at >= frameHeadBytes) {
            const length = this.#lengthAt(bytes, at);
            const end = at + frameHeadBytes + length;
            if (end > bytes.length) {
                break;
            }
            frames.push({ type: bytes[at] as Frame["type"], payload: bytes.subarray(at + frameHeadBytes, end) });
            at = end;
        }
        this.#rest = at === bytes.length ? emptyBuffer : bytes.subarray(at);
        return frames;
    }

    #lengthAt(bytes: Buffer, at: number): number {
        const length = bytes.readUInt32BE(at + 1);
        if (!TYPES.has(bytes[at]!) || length > MAX_PAYLOAD_BYTES) {
            throw new LinkError("not-a-frame");
        }
        return length;
    }
}
