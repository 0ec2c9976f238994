/** Defines the state of a gate, as a daemon reports it to a peer. */
import type { Rejection } from "../config/rejection.js";
import type { UpstreamName } from "../ids/upstreamname.js";

/** The state of one gate; `finished` and `refused` count requests since the daemon started. */
export type GateStatus = {
    readonly upstream: UpstreamName;
    readonly state: "up" | "leaving" | "evacuated" | "limited" | "cold";
    readonly revision: number;
    readonly fresh: boolean;
    readonly running: number;
    readonly waiting: number;
    readonly limit: number;
    /** The upstream's stated rate limit in requests a second, while it states one. */
    readonly limitPerSecond?: number;
    readonly finished: number;
    readonly refused: number;
    /** True if the daemon of the gate is a watcher of the store for its hall. */
    readonly watchesStore: boolean;
    /** Number of daemons in its daemon's member list, itself included; 0 if the configuration lists the upstreams. */
    readonly members: number;
    /** What its daemon has exchanged with other regions since it started; older daemons leave it out. */
    readonly regionTraffic?: {
        readonly sentBytes: number;
        readonly receivedBytes: number;
        readonly sentMessages: number;
    };
    /** The rejection of the stored document, if its daemon has read an invalid one; older daemons leave it out. */
    readonly rejection?: Rejection;
};
