/** How much of the store a daemon watches. */

/** `configuration`: the operators' document only, while it is not known yet who else is in the hall; `all`: the daemons' records too. */
export type WatchScope = "nothing" | "configuration" | "all";
