/** Encodes header fields as a flat list of names and values: shorter than an object, and keeps repeated fields. */
import type { HttpHeaders } from "../http/httpheaders.js";

/** Returns the list; a field with several values is listed once for each of them. */
export function writeHeaders(headers: HttpHeaders): string[] {
    const list: string[] = [];
    for (const name in headers) {
        const value = headers[name];
        for (const item of Array.isArray(value) ? value : [value]) {
            if (item !== undefined) {
                list.push(name, item);
            }
        }
    }
    return list;
}
