/** Encodes the configuration document for the store. */
import type { Document } from "../config/document.js";

/** Returns the document as JSON. */
export function encodeDocument(document: Document): string {
    return JSON.stringify(document);
}
