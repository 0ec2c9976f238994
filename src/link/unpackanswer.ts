/** Reads an answer from the payload of a frame. */
import { readResponseMetadata } from "../wire/readresponsemetadata.js";
import { LinkError } from "./linkerror.js";
import { readHeaders } from "./readheaders.js";
import { readWireBody } from "./readwirebody.js";
import { unpackList } from "./unpacklist.js";
import type { WireAnswer } from "./wireanswer.js";

/** Throws a LinkError for what is no answer. */
export function unpackAnswer(payload: Buffer): WireAnswer {
    const [noteList, status, headerList, last, follows, body] = unpackList(payload);
    const note = readResponseMetadata(noteList);
    const headers = readHeaders(headerList);
    if (note === undefined || headers === undefined || typeof status !== "number") {
        throw new LinkError("not-a-frame");
    }
    return { note, status, headers, last: last === true, body: readWireBody(follows, body) };
}
