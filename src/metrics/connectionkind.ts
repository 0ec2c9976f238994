/** What a connection leads to; the label of the counter of silent ones. */
export type ConnectionKind = "peer" | "upstream" | "store";
