/** What a gate shares with the rest of its daemon. */
import type { Ledger } from "../ledger/ledger.js";
import type { Clock } from "../time/clock.js";
import type { Contexts } from "./contexts.js";
import type { GateIdentity } from "./gateidentity.js";

/** `localIp` is where connections go out from; `onChange` hears of each arrival and each end. */
export type GateParts = {
    readonly clock: Clock;
    readonly ledger: Ledger;
    readonly contexts: Contexts;
    readonly identity: GateIdentity;
    readonly limit: "ramp" | "fixed";
    readonly localIp: string;
    readonly onChange: () => void;
};
