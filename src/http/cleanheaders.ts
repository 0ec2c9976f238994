/** Takes out what one connection's header fields must not carry over to the next (RFC 9110, 7.6.1). */
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

const listed = (headers: HttpHeaders): ReadonlySet<string> => {
    const { connection } = headers;
    const text = Array.isArray(connection) ? connection.join(",") : connection ?? "";
    return new Set(text.split(",").map(name => name.trim().toLowerCase()));
};

/** Returns the fields without the hop-by-hop ones, those that `connection` lists, and winglock's own. */
export function cleanHeaders(headers: HttpHeaders): HttpHeaders {
    const named = headers.connection === undefined ? undefined : listed(headers);
    const clean: HttpHeaders = {};
    for (const name in headers) {
        if (!HOP_BY_HOP.has(name) && !name.startsWith(OWN_PREFIX) && !named?.has(name)) {
            clean[name] = headers[name];
        }
    }
    return clean;
}
