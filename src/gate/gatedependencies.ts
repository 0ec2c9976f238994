/** Defines what a gate receives from its daemon. */
import type { Dialect } from "../dialect/dialect.js";
import type { Address } from "../ids/address.js";
import type { CrashId } from "../ids/crashid.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { ServiceName } from "../ids/servicename.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import type { Ledger } from "../ledger/ledger.js";
import type { LimitName } from "../policy/admission/limitname.js";
import type { ColdLimits } from "../policy/cold/coldlimits.js";
import type { Arrival } from "../policy/retry/arrival.js";
import type { Clock } from "../time/clock.js";
import type { CallContexts } from "./callcontexts.js";
import type { GateIdentity } from "./gateidentity.js";

/** Dependencies of a gate; all gates of a daemon share them. */
export type GateDependencies = {
    readonly clock: Clock;
    readonly ledger: Ledger;
    readonly contexts: CallContexts;
    readonly identity: GateIdentity;
    readonly dialect: Dialect;
    readonly limit: LimitName;
    /**
     * Returns the knee usually found at a service's upstreams, as a fraction of their slots; undefined while it is
     * unknown.
     */
    readonly medianLimitShare: (service: ServiceName) => number | undefined;
    /** Local address from which connections to the upstream are opened. */
    readonly localIp: string;
    /** Called when a request arrives at the gate, and when one ends. */
    readonly onChange: () => void;
    /** Takes one pace probe from the budget; returns false if the budget is used up. */
    readonly mayProbePace: () => boolean;
    /** Takes one crash probe from the budget; returns false if the budget is used up. */
    readonly mayProbeCrash: () => boolean;
    /** Called when a connection to the upstream was found to be unresponsive. */
    readonly onUnresponsive: (address: Address) => void;
    /** Called for each request that the upstream has received. */
    readonly onArrival: (service: ServiceName, arrival: Arrival) => void;
    /** Returns how many repeats of a service's requests this daemon can still afford. */
    readonly repeatsLeft: (service: ServiceName) => number;
    /** Called when an upstream has crashed, with the requests that were in flight. */
    readonly onCrash: (service: ServiceName, crash: CrashId, requests: readonly RequestKey[]) => void;
    /** Called for each request that is refused because of the rate at which the upstream may be sent requests. */
    readonly onHeldBack: (service: ServiceName, reason: "cold" | "limited") => void;
    /** Called when an upstream has announced that it is leaving permanently. */
    readonly onEnding: (upstream: UpstreamName) => void;
    /** Called for each request that the upstream has served successfully. */
    readonly onServed: (request: RequestKey) => void;
    /** Returns for how many more milliseconds a request is quarantined; undefined if it is not. */
    readonly quarantinedForMs: (request: RequestKey | undefined) => number | undefined;
    /** Returns the path of the service's health endpoint. */
    readonly healthPath: (service: ServiceName) => string;
    /** Returns the limits for cold upstreams of a service; undefined if the service has none. */
    readonly coldLimits: (service: ServiceName) => ColdLimits | undefined;
    /** Takes one cold probe from the budget; returns false if the budget is used up. */
    readonly mayProbeCold: () => boolean;
};
