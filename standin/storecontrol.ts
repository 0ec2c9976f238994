/** What a test may tell the store. */
import type { HostEntry } from "./hostentry.js";

/** Times in milliseconds. */
export type StoreControl = {
    /** Connections are ended unanswered. */
    down: boolean;
    /** A status that every call gets, 0 for none. */
    refuse: 0 | 429 | 503;
    /** Calls wait for ever. */
    silent: boolean;
    /** Connections that are open now carry nothing more, without an end; once for each call. */
    muteOpen: boolean;
    /** `refuse` and `silent` strike only callers with these IPs; empty for all. */
    from: readonly string[];
    /** So many of the next writes are done and not answered. */
    loseAnswers: number;
    delayMs: number;
    /** More calls in a second are refused with 429. */
    ratePerSecond: number;
    /** Forgets what is older than the present; once for each call. */
    forget: boolean;
    /** Makes the copy that it may come back from; once for each call. */
    makeCopy: boolean;
    /** Comes back from its copy; once for each call. */
    comeBack: boolean;
    /** Whether answers say how often it has. */
    tellsEra: boolean;
    /** Ends all leases; once for each call. */
    revoke: boolean;
    /** The list of hosts, shown after a lag. */
    hosts: readonly HostEntry[];
};
