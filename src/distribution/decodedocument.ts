/** Decodes the configuration document from its value in the store. */
import { Document } from "../config/document.js";
import { emptyDocument } from "../config/emptydocument.js";
import { mayShowValue } from "../config/mayshowvalue.js";
import { parse } from "../config/parse.js";
import { parseJson } from "../config/parsejson.js";

/** Returns the document, the empty one for an empty value. Throws a ConfigError that shows no key. */
export function decodeDocument(value: string): Document {
    return value === "" ? emptyDocument : parse(Document, parseJson(value), mayShowValue);
}
