/** The transport from an ingress to one gate. */
import type { RevokeResult } from "../ledger/revokeresult.js";
import type { RequestMetadata } from "../wire/requestmetadata.js";
import type { GateCall } from "./gatecall.js";
import type { GateResponse } from "./gateresponse.js";

/** Sends requests to a gate in the same process or over the network. */
export abstract class Hop {
    /** Sends a request once, without retries; throws a HopError. */
    abstract send(call: GateCall): Promise<GateResponse>;
    /** Asks the gate to revoke a request; resolves with `unknown` if the gate is unreachable. */
    abstract revoke(head: RequestMetadata): Promise<RevokeResult>;
    /** Asks the gate for its incarnation and clock; throws a HopError. */
    abstract handshake(): Promise<void>;
    /** Probes the gate's daemon over a new connection; resolves with false if it does not respond in time. */
    abstract probe(timeoutMs: number): Promise<boolean>;
    /** Closes connections as soon as they are idle; requests in flight are completed. */
    abstract close(): Promise<void>;
}
