/** How this daemon knows the others, in the way that its environment asks for; docs/DESIGN.md says why there are two. */
import type { Upstream } from "../config/upstream.js";
import { HallHeartbeats } from "../distribution/hallheartbeats.js";
import { LeavingHosts } from "../distribution/leavinghosts.js";
import { WatcherElection } from "../distribution/watcherelection.js";
import { Membership } from "../membership/membership.js";
import type { Member } from "../wire/member.js";
import type { ConfigurationGroup } from "./configurationgroup.js";
import type { DaemonContext } from "./daemoncontext.js";
import type { GateGroup } from "./gategroup.js";

/** By heartbeats where the document names the upstreams, by announcements and gossip where there is a registry. */
export class MembershipGroup {
    readonly heartbeats: HallHeartbeats;
    readonly announced: Membership | undefined;

    constructor(
        private readonly context: DaemonContext,
        private readonly configuration: ConfigurationGroup,
        gates: GateGroup,
    ) {
        const { settings, environment, clock, random, self, send } = context;
        const { current, puller, watcher } = configuration;
        this.heartbeats = new HallHeartbeats({
            self,
            clock,
            random,
            send,
            hall: settings.hall,
            host: settings.host,
            configuration: current,
            puller,
            election: new WatcherElection(self, clock()),
            watcher,
            leavingHosts: new LeavingHosts(environment.store),
            onHostLeaving: leaving => gates.gates.setClosed("host-leaving", leaving),
        });
        context.silentConnections.onFound(() => this.#renewStore());
        this.announced = environment.registry && new Membership({
            self,
            incarnation: context.incarnation,
            peer: context.peer,
            settings,
            registry: environment.registry,
            dialect: environment.dialect,
            healthPath: service => gates.probes.healthPath(service),
            learnedShare: name => gates.gates.find(name)?.learnedShare,
            watcher,
            configuration: current,
            puller,
            clock,
            random,
            send,
        });
        gates.onUsualShare(service => this.announced?.usualShare(service));
    }

    /** Calls of the store and watches of it go on over new connections: the old ones may have gone silent. */
    #renewStore(): void {
        this.context.environment.store.renewConnections();
        if (this.announced === undefined) {
            this.configuration.watcher.renew();
        }
        else {
            this.announced.renewWatches();
        }
    }

    /** The upstreams of the document, and those that have announced themselves. */
    get upstreams(): readonly Upstream[] {
        return [...this.configuration.current.document.upstreams, ...this.announced?.upstreams ?? []];
    }

    /** This daemon and those that it knows; none where the document names the upstreams. */
    get members(): Member[] {
        return this.announced?.members ?? [];
    }

    /** Calls the listener when the upstreams have changed. */
    onChange(listener: () => void): void {
        this.configuration.current.onChange(listener);
        this.announced?.onChange(listener);
    }

    async start(): Promise<void> {
        await (this.announced ?? this.heartbeats).start();
    }

    stop(): void {
        this.heartbeats.stop();
        this.announced?.stop();
    }
}
