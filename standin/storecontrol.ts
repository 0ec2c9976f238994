/** Control message of the store stand-in. */
import type { HostEntry } from "./hostentry.js";

/** What a test can set. Times are in milliseconds. One-time settings act once for each call that sets them. */
export type StoreControl = {
    /** Closes connections without a response. */
    down: boolean;
    /** Status with which every call is refused; 0 for none. */
    refuse: 0 | 429 | 503;
    /** Leaves calls without a response. */
    silent: boolean;
    /** Makes the connections that are open now unresponsive, without closing them. One-time. */
    muteOpen: boolean;
    /** Makes the connections on which a watch is pending now unresponsive, and no others. One-time. */
    muteWatches: boolean;
    /** IP addresses of the callers to which `refuse` and `silent` apply; empty for all. */
    from: readonly string[];
    /** Number of next writes that are applied but get no response. */
    loseAnswers: number;
    delayMs: number;
    /** Number of calls per second beyond which calls are refused with 429. */
    ratePerSecond: number;
    /** Discards the history of changes up to the current revision. One-time. */
    forget: boolean;
    /** Makes the backup from which `comeBack` restores. One-time. */
    makeCopy: boolean;
    /** Restores the store from its backup. One-time. */
    comeBack: boolean;
    /** Whether responses state the era, which grows with each restore. */
    tellsEra: boolean;
    /** Ends all leases. One-time. */
    revoke: boolean;
    /** List of hosts, which takes effect after a lag. */
    hosts: readonly HostEntry[];
};
