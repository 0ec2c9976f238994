/** What operators can ask of a daemon, in the types of the product. */
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
import type { Clock } from "../time/clock.js";
import { collectStatus } from "./collectstatus.js";
import { explain } from "./explain.js";
import type { Explanation } from "./explanation.js";

/** What the calls need of their daemon. */
type OperatorDependencies = {
    readonly clock: Clock;
    readonly configuration: CurrentConfiguration;
    readonly publisher: ChangePublisher;
    readonly evacuations: Evacuations;
    readonly upstreams: UpstreamTable;
    /** All upstreams that there are: those of the document, and those that announce themselves. */
    readonly known: () => readonly Upstream[];
    readonly peer: PeerClient;
};

/** Knows nothing of how the calls come in. */
export class OperatorApi {
    constructor(private readonly deps: OperatorDependencies) {}

    get document(): Document {
        return this.deps.configuration.document;
    }

    get isFresh(): boolean {
        return this.deps.configuration.isFresh(this.deps.clock());
    }

    get evacuatedHalls(): readonly HallName[] {
        return this.deps.evacuations.halls;
    }

    apply(request: ChangeRequest): Promise<ChangeResult> {
        return this.deps.publisher.apply(request);
    }

    /** The revision that a change made, undefined when it made none; throws a StoreError. */
    findRevision(id: ChangeId): Promise<number | undefined> {
        return this.deps.publisher.findRevision(id);
    }

    status(): ReturnType<typeof collectStatus> {
        return collectStatus(this.deps.known(), this.deps.peer);
    }

    explain(method: string, url: URL): Explanation {
        return explain(this.document, this.isFresh, this.deps.upstreams, { method, url }, this.deps.clock());
    }
}
