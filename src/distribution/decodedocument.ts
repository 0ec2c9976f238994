/** Reads the document from the store's value. */
import { Document } from "../config/document.js";
import { emptyDocument } from "../config/emptydocument.js";
import { parse } from "../config/parse.js";

/** An empty value is the empty document; throws a ConfigError, or a SyntaxError for what is no JSON. */
export function decodeDocument(value: string): Document {
    return value === "" ? emptyDocument : parse(Document, JSON.parse(value));
}
