/** Where every configuration starts. */
import type { Document } from "./document.js";

/** A document with nothing in it, older than any that was accepted. */
export const emptyDocument: Document = { revision: 0, changes: [], services: [], upstreams: [], rules: [] };
