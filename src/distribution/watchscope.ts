/** The part of the store that a daemon watches. */

/**
 * `configuration`: the configuration document only, while the other daemons of the hall are still being discovered;
 * `all`: also the records of the daemons.
 */
export type WatchScope = "nothing" | "configuration" | "all";
