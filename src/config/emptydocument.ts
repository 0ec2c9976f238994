/** Defines the initial configuration. */
import type { Document } from "./document.js";

/** Has revision 0, which is older than every accepted revision. */
export const emptyDocument: Document = { revision: 0, changes: [], services: [], upstreams: [], rules: [] };
