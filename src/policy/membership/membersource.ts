/** The source of a daemon's record: the daemon itself, its record in the store, or another daemon. */
export type MemberSource = "itself" | "store" | "peer";
