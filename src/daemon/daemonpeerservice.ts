/** Handles the calls of peers from the state of this daemon. */
import type { ConfigurationUpdate } from "../config/configurationupdate.js";
import type { RegionTraffic } from "../connections/regiontraffic.js";
import type { CrashPropagation } from "../crashes/crashpropagation.js";
import type { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import type { DocumentRejection } from "../distribution/documentrejection.js";
import type { GateIdentity } from "../gate/gateidentity.js";
import type { Ledger } from "../ledger/ledger.js";
import { ledgerDeadline } from "../ledger/ledgerdeadline.js";
import type { RevokeResult } from "../ledger/revokeresult.js";
import type { Membership } from "../membership/membership.js";
import { MembershipError } from "../membership/membershiperror.js";
import type { GateStatus } from "../peer/gatestatus.js";
import { PeerService } from "../peer/peerservice.js";
import type { RevokeInput } from "../peer/revokeinput.js";
import type { Clock } from "../time/clock.js";
import type { CrashChanges } from "../wire/crashchanges.js";
import type { Member } from "../wire/member.js";
import type { RecordChanges } from "../wire/recordchanges.js";
import type { RecordsPosition } from "../wire/recordsposition.js";
import type { GateSet } from "./gateset.js";
import { gateStatus } from "./gatestatus.js";

type PeerServiceDependencies = {
    readonly identity: GateIdentity;
    readonly ledger: Ledger;
    readonly configuration: CurrentConfiguration;
    readonly rejection: DocumentRejection;
    readonly gateSet: GateSet;
    readonly crashes: CrashPropagation;
    readonly clock: Clock;
    /** Undefined if the configuration names the upstreams. */
    readonly membership: Membership | undefined;
    readonly watchesStore: () => boolean;
    readonly regionTraffic: RegionTraffic;
};

/** Implements the peer service; the peer server decodes requests and encodes responses. */
export class DaemonPeerService extends PeerService {
    constructor(private readonly deps: PeerServiceDependencies) {
        super();
    }

    hello(): ReturnType<PeerService["hello"]> {
        const { identity, clock } = this.deps;
        const { incarnation, gateTime, revision } = identity.responseMetadata(clock());
        return { incarnation, gateTime, revision };
    }

    /** Returns `unknown` for a request to another incarnation of this daemon, because that one may have run it. */
    revoke(input: RevokeInput): RevokeResult {
        const { identity, ledger, clock } = this.deps;
        if (input.incarnation !== identity.incarnation) {
            return "unknown";
        }
        return ledger.revoke(input.id, ledgerDeadline(input), clock());
    }

    update(knownRevision: number): ConfigurationUpdate | undefined {
        return this.deps.configuration.updateFor(knownRevision);
    }

    member(): Member {
        return this.#membership.member;
    }

    records(knownPosition: RecordsPosition | undefined): RecordChanges {
        return this.#membership.changesSince(knownPosition);
    }

    crashes(changes: CrashChanges): CrashChanges {
        return this.deps.crashes.handleExchange(changes);
    }

    status(): GateStatus[] {
        const { gateSet, configuration, rejection, clock, membership, watchesStore, regionTraffic } = this.deps;
        const now = clock();
        const { bytes: sentBytes, messages: sentMessages } = regionTraffic.totals("sent");
        const { bytes: receivedBytes } = regionTraffic.totals("received");
        const daemonStatus = {
            watchesStore: watchesStore(),
            members: membership?.members.length ?? 0,
            regionTraffic: { sentBytes, receivedBytes, sentMessages },
            rejection: rejection.current(now),
        };
        return [...gateSet.all].map(gate => gateStatus(gate, configuration, daemonStatus, now));
    }

    get #membership(): Membership {
        const { membership } = this.deps;
        if (membership === undefined) {
            throw new MembershipError("no upstreams announce themselves here: there are no records");
        }
        return membership;
    }
}
