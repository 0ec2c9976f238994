/** The remote end of a connection; a label of the counter of unresponsive connections. */
export type ConnectionKind = "peer" | "upstream" | "store";
