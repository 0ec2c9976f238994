/** Reads header fields from a flat list of names and values. */
import type { HttpHeaders } from "../http/httpheaders.js";

/** Undefined for what is no such list. */
export function readHeaders(list: unknown): HttpHeaders | undefined {
    if (!Array.isArray(list) || list.length % 2 !== 0 || !list.every(item => typeof item === "string")) {
        return undefined;
    }
    const headers: HttpHeaders = {};
    for (let at = 0; at < list.length; at += 2) {
        const name = list[at] as string;
        const value = list[at + 1] as string;
        const before = headers[name];
        headers[name] = before === undefined ? value : [before, value].flat();
    }
    return headers;
}
