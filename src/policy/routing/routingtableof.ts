/** Returns the routing table of a document. */
import type { Document } from "../../config/document.js";
import { RoutingTable } from "./routingtable.js";

/** Documents are never modified, so a table is valid for as long as its document is in use. */
const tables = new WeakMap<Document, RoutingTable>();

/** Builds the table at the first call for a document. */
export function routingTableOf(document: Document): RoutingTable {
    const known = tables.get(document);
    if (known !== undefined) {
        return known;
    }
    const table = new RoutingTable(document);
    tables.set(document, table);
    return table;
}
