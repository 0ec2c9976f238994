/** Returns the index of the teams of a document. */
import type { Document } from "../../config/document.js";
import { TeamIndex } from "./teamindex.js";

/** Documents are never modified, so an index is valid for as long as its document is in use. */
const indexes = new WeakMap<Document, TeamIndex>();

/** Builds the index at the first call for a document; returns undefined for a document without teams. */
export function teamIndexOf(document: Document): TeamIndex | undefined {
    if (document.teams === undefined) {
        return undefined;
    }
    const known = indexes.get(document);
    if (known !== undefined) {
        return known;
    }
    const index = new TeamIndex(document.teams);
    indexes.set(document, index);
    return index;
}
