/** The state of a gate, as a daemon reports it to a peer. */
import type { UpstreamName } from "../ids/upstreamname.js";

/** Counts since the daemon started. */
export type GateStatus = {
    readonly upstream: UpstreamName;
    readonly state: "up" | "leaving" | "evacuated" | "limited" | "cold";
    readonly revision: number;
    readonly fresh: boolean;
    readonly running: number;
    readonly waiting: number;
    readonly limit: number;
    /** Requests a second that the upstream takes, while it states a limit. */
    readonly limitPerSecond?: number;
    readonly finished: number;
    readonly refused: number;
    /** Its daemon watches the store for its hall. */
    readonly watchesStore: boolean;
    /** Daemons that its daemon knows, itself too; 0 where the document names the upstreams. */
    readonly members: number;
};
