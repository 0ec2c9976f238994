/** Decodes the configuration document from its value in the store. */
import { Document } from "../config/document.js";
import { emptyDocument } from "../config/emptydocument.js";
import { parse } from "../config/parse.js";

/**
 * Returns the document, the empty one for an empty value. Throws a ConfigError, or a SyntaxError if the value is not
 * JSON.
 */
export function decodeDocument(value: string): Document {
    return value === "" ? emptyDocument : parse(Document, JSON.parse(value));
}
