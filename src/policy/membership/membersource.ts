/** Who says something of a daemon. */

/** The daemon itself, its record in the store, or some other daemon. */
export type RosterSource = "itself" | "store" | "peer";
