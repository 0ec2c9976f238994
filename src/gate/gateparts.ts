/** What a gate shares with the rest of its daemon. */
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

/**
 * `localIp` is where connections go out from; `onChange` is called at each arrival and each end; `mayAsk` spends one
 * question from the budget of measuring; `onArrival` is called for each request that the upstream has
 * received; `repeatsLeft` says how many repeats of a service this daemon can still afford.
 */
export type GateParts = {
    readonly clock: Clock;
    readonly ledger: Ledger;
    readonly contexts: CallContexts;
    readonly identity: GateIdentity;
    readonly dialect: Dialect;
    readonly limit: LimitName;
    /** Of their slots, where upstreams of the service were found to slow down; undefined while that is not known. */
    readonly usualShare: (service: ServiceName) => number | undefined;
    readonly localIp: string;
    readonly onChange: () => void;
    readonly mayAsk: () => boolean;
    /** Spends one question whether the upstream has crashed. */
    readonly mayAskForCrash: () => boolean;
    /** Told of a connection to the upstream that was found to carry nothing any more. */
    readonly onSilent: (address: Address) => void;
    readonly onArrival: (service: ServiceName, arrival: Arrival) => void;
    readonly repeatsLeft: (service: ServiceName) => number;
    /** Told of a crash of an upstream, and of the requests that were under way. */
    readonly onCrash: (service: ServiceName, crash: CrashId, requests: readonly RequestKey[]) => void;
    /** Told of each request that is refused for the upstream's request rate. */
    readonly onHeldBack: (service: ServiceName, reason: "cold" | "limited") => void;
    /** Told that an upstream has said that it leaves for good. */
    readonly onEnding: (upstream: UpstreamName) => void;
    /** Told of each request that the upstream has served well. */
    readonly onServed: (request: RequestKey) => void;
    /** For how long a request is quarantined yet, in milliseconds; undefined for one that is not. */
    readonly quarantinedForMs: (request: RequestKey | undefined) => number | undefined;
    readonly healthPath: (service: ServiceName) => string;
    /** What cold upstreams of a service take; undefined where they take as much as others. */
    readonly coldLimits: (service: ServiceName) => ColdLimits | undefined;
    /** Spends one question whether an upstream is cold. */
    readonly mayAskForCold: () => boolean;
};
