/** Defines the kinds of calls to the store. The store charges for each call; a pending watch counts as one. */

/** `check` tests an open connection, `find` reads one key, `list` reads several, `keep` renews a lease. */
export type StoreCallKind =
    | "check"
    | "find"
    | "list"
    | "list-stale"
    | "write"
    | "grant"
    | "keep"
    | "end"
    | "watch-configuration"
    | "watch-records"
    | "hosts";
