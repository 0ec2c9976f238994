/** Reads an answer from the payload of a frame. */
import { unpack } from "msgpackr";
import { readNote } from "../wire/readnote.js";
import { readHeaders } from "./readheaders.js";
import type { WireAnswer } from "./wireanswer.js";

/** Undefined for what is no answer. */
export function unpackAnswer(payload: Buffer): WireAnswer | undefined {
    try {
        const list: unknown = unpack(payload);
        if (!Array.isArray(list)) {
            return undefined;
        }
        const [noteList, status, headerList, last, follows, body] = list as unknown[];
        const note = readNote(noteList);
        const headers = readHeaders(headerList);
        if (note === undefined || headers === undefined || typeof status !== "number") {
            return undefined;
        }
        const whole = Buffer.isBuffer(body) ? body : undefined;
        return { note, status, headers, last: last === true, body: follows === true ? "follows" : whole };
    }
    catch {
        return undefined;
    }
}
