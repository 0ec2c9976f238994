/** The document's form in the store. */
import type { Document } from "../config/document.js";

/** JSON. */
export function encodeDocument(document: Document): string {
    return JSON.stringify(document);
}
