/** Header fields as a flat list of names and values, which is shorter than an object and keeps repeated ones. */
import type { HttpHeaders } from "../http/httpheaders.js";

/** A field that came more than once is listed once for each value. */
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
