/** How the document stands in the store. */
import type { Document } from "../config/document.js";

/** JSON. */
export function encodeDocument(document: Document): string {
    return JSON.stringify(document);
}
