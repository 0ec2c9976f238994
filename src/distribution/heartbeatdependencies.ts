/** Defines what the heartbeats of a daemon receive from it. */
import type { Message } from "../datagram/message.js";
import type { Evacuations } from "../evacuation/evacuations.js";
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";
import type { HostName } from "../ids/hostname.js";
import type { Metrics } from "../metrics/metrics.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { Clock } from "../time/clock.js";
import type { ConfigurationPuller } from "./configurationpuller.js";
import type { CurrentConfiguration } from "./currentconfiguration.js";
import type { DaemonLocation } from "./daemonlocation.js";
import type { LeavingHosts } from "./leavinghosts.js";
import type { StoreWatch } from "./storewatch.js";
import type { WatcherElection } from "./watcherelection.js";

/** The state that heartbeats carry and update, and the callbacks for received changes. */
export type HeartbeatDependencies = {
    readonly self: Address;
    readonly hall: HallName;
    readonly host: HostName;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly configuration: CurrentConfiguration;
    readonly metrics: Metrics;
    readonly puller: ConfigurationPuller;
    readonly election: WatcherElection;
    readonly watch: StoreWatch;
    /** Interval of confirmations under strict revocation, in milliseconds; undefined if it is not in force. */
    readonly confirmationIntervalMs?: number | undefined;
    /** Returns the location of every known daemon, including this one. */
    readonly locations: () => readonly DaemonLocation[];
    readonly leavingHosts: LeavingHosts;
    /** Returns a digest of the records of requests that crashed upstreams, or undefined if there are none. */
    readonly crashDigest: () => number | undefined;
    /** Returns a digest of the records of requests that crashed several upstreams, or undefined if there are none. */
    readonly suspectDigest: () => number | undefined;
    /** Called with the digest of crash records that a received heartbeat carries. */
    readonly onCrashDigest: (from: Address, digest: number | undefined) => void;
    readonly evacuations: Evacuations;
    readonly send: (to: Address, message: Message) => boolean;
    /** Called when the scope that this daemon watches in the store has changed. */
    readonly onScopeChange: () => void;
    /** Called with whether this daemon's own host is leaving according to the platform's host list. */
    readonly onHostLeaving: (leaving: boolean) => void;
};
