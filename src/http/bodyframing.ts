/** Determines how a response states where its body ends (RFC 9112, section 6.3). */
import type { HttpHeaders } from "./httpheaders.js";

/** `unknown` if the body has a transfer coding that can't be decoded: its bytes are not the content. */
type BodyFraming = "content-length" | "chunked" | "end-of-connection" | "unknown";

/** A coding that changes nothing; HTTP/1.1 had it once (RFC 2616, section 3.6). */
const IDENTITY = "identity";
const CHUNKED = "chunked";

const codingsOf = (field: string | string[]): string[] =>
    [field].flat().join(",").split(",").map(coding => coding.trim().toLowerCase()).filter(coding => coding !== "");

/** Returns how the body ends; only chunked as the last coding ends it by itself. */
export function bodyFraming(headers: HttpHeaders): BodyFraming {
    const field = headers["transfer-encoding"];
    if (field === undefined) {
        return headers["content-length"] === undefined ? "end-of-connection" : "content-length";
    }
    const codings = codingsOf(field);
    if (codings.every(coding => coding === IDENTITY)) {
        return "end-of-connection";
    }
    const isKnown = codings.every(coding => coding === IDENTITY || coding === CHUNKED);
    return isKnown && codings.at(-1) === CHUNKED ? "chunked" : "unknown";
}
