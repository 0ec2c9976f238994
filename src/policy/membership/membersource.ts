/** Where a record of a daemon comes from: the daemon itself, its record in the store, or some other daemon. */
export type MemberSource = "itself" | "store" | "peer";
