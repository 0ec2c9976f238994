/** Serves operators, and readiness checks on a listener of their own. */
import { OperatorApi } from "../operator/operatorapi.js";
import { OperatorServer } from "../operator/operatorserver.js";
import type { ConfigurationGroup } from "./configurationgroup.js";
import type { DaemonContext } from "./daemoncontext.js";
import type { MembershipGroup } from "./membershipgroup.js";
import { ReadinessServer } from "./readinessserver.js";
import type { RequestPathGroup } from "./requestpathgroup.js";

/** Owns the operators' server and the readiness server. */
export class OperatorGroup {
    readonly server: OperatorServer;
    readonly #readiness: ReadinessServer;

    constructor(
        private readonly context: DaemonContext,
        { current, publisher, evacuations }: ConfigurationGroup,
        { upstreamTable, quota }: RequestPathGroup,
        membership: MembershipGroup,
    ) {
        const { clock, peer, metrics } = context;
        const api = new OperatorApi({
            clock,
            peer,
            publisher,
            evacuations,
            configuration: current,
            upstreams: upstreamTable,
            quotas: () => quota.status(),
            knownUpstreams: () => membership.upstreams,
        });
        this.server = new OperatorServer(api, metrics, () => current.revision > 0);
        this.#readiness = new ReadinessServer(() => this.server.isReady);
    }

    async listen(): Promise<void> {
        await this.server.listen(this.context.settings.operator);
    }

    /** Does nothing if the settings have no `readiness` address. */
    async listenForReadiness(): Promise<void> {
        const { readiness } = this.context.settings;
        if (readiness !== undefined) {
            await this.#readiness.listen(readiness);
        }
    }

    stop(): void {
        this.#readiness.close();
        this.server.destroy();
    }
}
