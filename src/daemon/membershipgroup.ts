/** How this daemon knows the others, in the way that its environment asks for; docs/DESIGN.md says why there are two. */
import type { Upstream } from "../config/upstream.js";
import { CrashPropagation } from "../crashes/crashpropagation.js";
import { CrashPublisher } from "../crashes/crashpublisher.js";
import { ConfigurationWatch } from "../distribution/configurationwatch.js";
import type { DaemonLocation } from "../distribution/daemonlocation.js";
import { HallHeartbeats } from "../distribution/hallheartbeats.js";
import { LeavingHosts } from "../distribution/leavinghosts.js";
import { WatcherElection } from "../distribution/watcherelection.js";
import { UnknownHalls } from "../evacuation/unknownhalls.js";
import { Membership } from "../membership/membership.js";
import { selectRelays } from "../membership/selectrelays.js";
import type { Member } from "../wire/member.js";
import type { ConfigurationGroup } from "./configurationgroup.js";
import type { DaemonContext } from "./daemoncontext.js";
import type { GateGroup } from "./gategroup.js";

/**
 * One that knows nobody when the store has its own record waits so long before it watches: where a whole hall starts, all have found each
 * other by then (RegistryWatcher.rereadStale), and those that need not watch never do. Milliseconds: the time within which records
 * are written that are written at the start.
 */
const DISCOVERY_MS = 4000;

/** From the document where it names the upstreams, by announcements where there is a registry; heartbeats carry both. */
export class MembershipGroup {
    readonly heartbeats: HallHeartbeats;
    readonly registryMembership: Membership | undefined;
    readonly crashes: CrashPropagation;
    readonly #crashPublisher: CrashPublisher | undefined;
    readonly #unknownHalls = new UnknownHalls();
    #listener: () => void = () => {};

    constructor(
        private readonly context: DaemonContext,
        private readonly configuration: ConfigurationGroup,
        private readonly gates: GateGroup,
    ) {
        this.registryMembership = this.#createMembership();
        this.crashes = this.#createCrashPropagation();
        this.#crashPublisher = this.#createCrashPublisher();
        this.heartbeats = this.#createHeartbeats();
        context.unresponsiveConnections.onDetected(() => this.#renewStoreConnections());
        gates.setMedianLimitShareSource(service => this.registryMembership?.medianLimitShare(service));
        gates.onEnding(name => this.registryMembership?.recordLeaving(name));
        context.metrics.showMembership(() => this.members.length, () => this.heartbeats.isWatcher);
        configuration.current.onChange(() => this.#applyUpstreamChange());
        this.registryMembership?.onChange(() => this.#applyUpstreamChange());
        configuration.evacuations.onChange(() => this.#checkEvacuatedHalls());
    }

    /** The upstreams of the document, and those that have announced themselves. */
    get upstreams(): readonly Upstream[] {
        return [...this.configuration.current.document.upstreams, ...this.registryMembership?.upstreams ?? []];
    }

    /** This daemon and those that it knows; none where the document names the upstreams. */
    get members(): Member[] {
        return this.registryMembership?.members ?? [];
    }

    /** Calls the listener when the upstreams have changed. */
    onChange(listener: () => void): void {
        this.#listener = listener;
    }

    async start(): Promise<void> {
        await this.registryMembership?.start();
        this.heartbeats.updateMembers();
        this.heartbeats.start();
        this.#crashPublisher?.start();
    }

    stop(): void {
        this.heartbeats.stop();
        this.#crashPublisher?.stop();
        this.registryMembership?.stop();
    }

    #applyUpstreamChange(): void {
        this.heartbeats.updateMembers();
        this.crashes.onMembersChanged();
        this.#listener();
    }

    #checkEvacuatedHalls(): void {
        const knownHalls = new Set(this.#locations().map(({ hall }) => hall));
        this.#unknownHalls.check(this.configuration.evacuations.halls, knownHalls, this.heartbeats.watchesEvacuations);
    }

    #locations(): readonly DaemonLocation[] {
        return [...this.configuration.current.document.upstreams, ...this.members];
    }

    /** Calls of the store and watches of it go on over new connections: the old ones may have gone silent. */
    #renewStoreConnections(): void {
        this.context.environment.store.renewConnections();
        if (this.registryMembership === undefined) {
            this.configuration.watcher.renew();
        }
        else {
            this.registryMembership.restartWatches();
        }
    }

    #createMembership(): Membership | undefined {
        const { settings, environment, clock, random, self, send, incarnation, peer } = this.context;
        const { current, puller, watcher, evacuations } = this.configuration;
        const { gates, probeBudget } = this.gates;
        return environment.registry && new Membership({
            self,
            incarnation,
            peer,
            settings,
            registry: environment.registry,
            dialect: environment.dialect,
            healthPath: service => probeBudget.healthPath(service),
            onCrashRecords: records => this.gates.crashGuard.merge(records),
            learnedShare: name => gates.find(name)?.learnedShare,
            documentWatcher: watcher,
            configuration: current,
            evacuations,
            puller,
            clock,
            random,
            send,
        });
    }

    #createCrashPropagation(): CrashPropagation {
        const { settings, random, self, send, peer, incarnation } = this.context;
        return new CrashPropagation({
            self,
            incarnation,
            random,
            send,
            guard: this.gates.crashGuard,
            members: () => [...new Set(this.#locations().map(({ gate }) => gate))],
            relays: () => selectRelays(this.#locations(), settings.hall, self),
            siblings: service =>
                this.upstreams.filter(upstream => upstream.service === service).map(({ gate }) => gate),
            exchange: (address, changes) => peer.crashes(address, changes),
        });
    }

    /** None where the store keeps the operators' document only. */
    #createCrashPublisher(): CrashPublisher | undefined {
        const { registry } = this.context.environment;
        return registry && new CrashPublisher({
            guard: this.gates.crashGuard,
            clock: this.context.clock,
            write: (record, keepMs) => registry.storeCrashRecord(record, keepMs),
        });
    }

    #createHeartbeats(): HallHeartbeats {
        const { settings, environment, clock, random, self, send } = this.context;
        const { current, puller, watcher } = this.configuration;
        return new HallHeartbeats({
            self,
            clock,
            random,
            send,
            hall: settings.hall,
            host: settings.host,
            configuration: current,
            puller,
            election: new WatcherElection(self, clock(), this.registryMembership === undefined ? 0 : DISCOVERY_MS),
            watch: this.registryMembership?.watch ?? new ConfigurationWatch(watcher),
            locations: () => this.#locations(),
            crashDigest: () => this.gates.crashGuard.digest,
            suspectDigest: () => this.gates.crashGuard.suspectDigest,
            onCrashDigest: (from, digest) => this.crashes.compareDigests(from, digest),
            evacuations: this.configuration.evacuations,
            onScopeChange: () => this.#checkEvacuatedHalls(),
            leavingHosts: new LeavingHosts(environment.store),
            onHostLeaving: isLeaving => this.gates.gates.setClosed("host-leaving", isLeaving),
        });
    }
}
