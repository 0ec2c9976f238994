/** Decodes header fields from a flat list of names and values. */
import type { HttpHeaders } from "../http/httpheaders.js";

/** Returns the header fields, or undefined if the value is not such a list. */
export function readHeaders(list: unknown): HttpHeaders | undefined {
    if (!Array.isArray(list) || list.length % 2 !== 0 || !list.every(item => typeof item === "string")) {
        return undefined;
    }
    const headers: HttpHeaders = {};
    for (let index = 0; index < list.length; index += 2) {
        const name = list[index] as string;
        const value = list[index + 1] as string;
        const previous = headers[name];
        headers[name] = previous === undefined ? value : [previous, value].flat();
    }
    return headers;
}
