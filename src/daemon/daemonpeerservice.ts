/** What this daemon does for its peers. */
import type { Update } from "../config/update.js";
import type { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import type { GateIdentity } from "../gate/gateidentity.js";
import type { Ledger } from "../ledger/ledger.js";
import type { RevokeResult } from "../ledger/revokeresult.js";
import type { Member } from "../membership/member.js";
import type { GateStatus } from "../peer/gatestatus.js";
import { PeerService } from "../peer/peerservice.js";
import type { RevokeInput } from "../peer/revokeinput.js";
import type { Clock } from "../time/clock.js";
import type { GateSet } from "./gateset.js";
import { gateStatus } from "./gatestatus.js";

/** Answers from the daemon's own state. */
export class DaemonPeerService extends PeerService {
    constructor(
        private readonly identity: GateIdentity,
        private readonly ledger: Ledger,
        private readonly keeper: CurrentConfiguration,
        private readonly gates: GateSet,
        private readonly clock: Clock,
        private readonly known: () => Member[],
    ) {
        super();
    }

    hello(): ReturnType<PeerService["hello"]> {
        const { incarnation, gateTime, revision } = this.identity.note(this.clock());
        return { incarnation, gateTime, revision };
    }

    /** A request of another life of this daemon may have run there: nothing can be proven. */
    revoke(input: RevokeInput): RevokeResult {
        if (input.incarnation !== this.identity.incarnation) {
            return "unknown";
        }
        const now = this.clock();
        return this.ledger.revoke(input.id, Math.min(now, input.gateTime) + input.remainingMs, now);
    }

    update(have: number): Update | undefined {
        return this.keeper.updateFor(have);
    }

    members(): Member[] {
        return this.known();
    }

    status(): GateStatus[] {
        const now = this.clock();
        return [...this.gates.all].map(gate => gateStatus(gate, this.keeper, now));
    }
}
