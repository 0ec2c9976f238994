/** Removes the header fields that must not be forwarded to the next connection (RFC 9110, 7.6.1). */
import type { HttpHeaders } from "./httpheaders.js";

const HOP_BY_HOP: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
]);
const OWN_PREFIX = "winglock-";

/** Returns the names of the fields that `connection` lists. */
const connectionFields = (headers: HttpHeaders): ReadonlySet<string> => {
    const { connection } = headers;
    const text = Array.isArray(connection) ? connection.join(",") : connection ?? "";
    return new Set(text.split(",").map(name => name.trim().toLowerCase()));
};

/** Returns the fields except the hop-by-hop ones, those that `connection` lists, and winglock's own. */
export function forwardableHeaders(headers: HttpHeaders): HttpHeaders {
    const listedNames = headers.connection === undefined ? undefined : connectionFields(headers);
    const clean: HttpHeaders = {};
    for (const name in headers) {
        if (!HOP_BY_HOP.has(name) && !name.startsWith(OWN_PREFIX) && !listedNames?.has(name)) {
            clean[name] = headers[name];
        }
    }
    return clean;
}
