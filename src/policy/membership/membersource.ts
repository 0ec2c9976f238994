/** Who says something of a daemon: the daemon itself, its record in the store, or some other daemon. */
export type MemberSource = "itself" | "store" | "peer";
