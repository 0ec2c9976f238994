/** Connects an ingress to a gate in the same process. */
import type { GateCall } from "../hop/gatecall.js";
import type { GateResponse } from "../hop/gateresponse.js";
import { Hop } from "../hop/hop.js";
import { HopError } from "../hop/hoperror.js";
import type { Ledger } from "../ledger/ledger.js";
import type { RevokeResult } from "../ledger/revokeresult.js";
import type { Clock } from "../time/clock.js";
import type { RequestMetadata } from "../wire/requestmetadata.js";
import type { Gate } from "./gate.js";
import type { GateIdentity } from "./gateidentity.js";

/**
 * Calls the gate directly, with the gate's own clock and incarnation. Looks the gate up for each request, because a
 * gate is replaced when its settings change.
 */
export class LocalHop extends Hop {
    constructor(
        private readonly gate: () => Gate | undefined,
        private readonly identity: GateIdentity,
        private readonly ledger: Ledger,
        private readonly clock: Clock,
    ) {
        super();
    }

    async send(call: GateCall): Promise<GateResponse> {
        const head = { ...call.head, incarnation: this.identity.incarnation, gateTime: this.clock() };
        const gate = this.gate();
        if (gate === undefined) {
            throw new HopError("not-run", "no-such-upstream");
        }
        return gate.serve({ ...call, head });
    }

    async revoke(head: RequestMetadata): Promise<RevokeResult> {
        const now = this.clock();
        return this.ledger.revoke(head.id, now + head.remainingMs, now);
    }

    async handshake(): Promise<void> {}

    async probe(): Promise<boolean> {
        return true;
    }

    async close(): Promise<void> {}
}
