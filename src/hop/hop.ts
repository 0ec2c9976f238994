/** The way from an ingress to one gate. */
import type { RevokeResult } from "../ledger/revokeresult.js";
import type { CallHead } from "../wire/callhead.js";
import type { GateAnswer } from "./gateanswer.js";
import type { GateCall } from "./gatecall.js";

/** In the same process, or over the network. */
export abstract class Hop {
    /** Sends a request once; throws a HopError. */
    abstract send(call: GateCall): Promise<GateAnswer>;
    /** Takes a request back; `unknown` when the gate can't be reached. */
    abstract revoke(head: CallHead): Promise<RevokeResult>;
    /** Learns the gate's life and clock; throws a HopError. */
    abstract greet(): Promise<void>;
    /** Ends idle connections, after what is in flight. */
    abstract close(): Promise<void>;
}
