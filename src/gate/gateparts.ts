/** What a gate shares with the rest of its daemon. */
import type { Vocabulary } from "../dialect/vocabulary.js";
import type { ServiceName } from "../ids/servicename.js";
import type { Ledger } from "../ledger/ledger.js";
import type { LimitName } from "../policy/admission/limitname.js";
import type { Clock } from "../time/clock.js";
import type { Contexts } from "./contexts.js";
import type { GateIdentity } from "./gateidentity.js";

/**
 * `localIp` is where connections go out from; `onChange` hears of each arrival and each end; `mayAsk` spends one
 * question from the budget of measuring.
 */
export type GateParts = {
    readonly clock: Clock;
    readonly ledger: Ledger;
    readonly contexts: Contexts;
    readonly identity: GateIdentity;
    readonly vocabulary: Vocabulary;
    readonly limit: LimitName;
    readonly localIp: string;
    readonly onChange: () => void;
    readonly mayAsk: () => boolean;
    readonly healthPath: (service: ServiceName) => string;
};
