/** Implements the operators' calls on winglock's own types, independent of the schema and the transport. */
import type { Document } from "../config/document.js";
import type { Upstream } from "../config/upstream.js";
import type { ChangePublisher } from "../distribution/changepublisher.js";
import type { ChangeRequest } from "../distribution/changerequest.js";
import type { ChangeResult } from "../distribution/changeresult.js";
import type { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import type { Evacuations } from "../evacuation/evacuations.js";
import type { ChangeId } from "../ids/changeid.js";
import type { HallName } from "../ids/hallname.js";
import type { UpstreamTable } from "../ingress/upstreamtable.js";
import type { PeerClient } from "../peer/peerclient.js";
import type { QuotaStatus } from "../policy/quota/quotastatus.js";
import type { Clock } from "../time/clock.js";
import { collectStatus } from "./collectstatus.js";
import { explain } from "./explain.js";
import type { Explanation } from "./explanation.js";

type OperatorDependencies = {
    readonly clock: Clock;
    readonly configuration: CurrentConfiguration;
    readonly publisher: ChangePublisher;
    readonly evacuations: Evacuations;
    readonly upstreams: UpstreamTable;
    /** Returns all known upstreams: those of the document and those that announce themselves. */
    readonly knownUpstreams: () => readonly Upstream[];
    readonly peer: PeerClient;
    /** Returns the state of the quota of each team with a rate. */
    readonly quotas: () => readonly QuotaStatus[];
};

/** Serves calls from the state of one daemon. */
export class OperatorApi {
    constructor(private readonly deps: OperatorDependencies) {}

    get document(): Document {
        return this.deps.configuration.document;
    }

    /** True if the store has confirmed the daemon's configuration recently. */
    get isFresh(): boolean {
        return this.deps.configuration.isFresh(this.deps.clock());
    }

    get evacuatedHalls(): readonly HallName[] {
        return this.deps.evacuations.halls;
    }

    /** The quota of each team with a rate, as this daemon knows it. */
    get quotas(): readonly QuotaStatus[] {
        return this.deps.quotas();
    }

    apply(request: ChangeRequest): Promise<ChangeResult> {
        return this.deps.publisher.apply(request);
    }

    /** Returns the revision that a change produced, or undefined if it produced none. Throws a StoreError. */
    findRevision(id: ChangeId): Promise<number | undefined> {
        return this.deps.publisher.findRevision(id);
    }

    status(): ReturnType<typeof collectStatus> {
        return collectStatus(this.deps.knownUpstreams(), this.deps.peer);
    }

    explain(request: Parameters<typeof explain>[3]): Explanation {
        return explain(this.document, this.isFresh, this.deps.upstreams, request, this.deps.clock());
    }
}
