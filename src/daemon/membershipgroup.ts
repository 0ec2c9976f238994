/**
 * Keeps track of the other daemons and of the upstreams.
 *
 * If the environment has a registry, upstreams announce themselves and daemons find each other by their records.
 * Otherwise the configuration names the upstreams. docs/DESIGN.md explains why both exist. Heartbeats serve both.
 */
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
import { confirmationIntervalMs } from "../policy/access/confirmationintervalms.js";
import { keyedAgeLimitMs } from "../policy/access/keyedagelimitms.js";
import type { Member } from "../wire/member.js";
import type { ConfigurationGroup } from "./configurationgroup.js";
import type { DaemonContext } from "./daemoncontext.js";
import type { GateGroup } from "./gategroup.js";

/**
 * Time that a daemon waits before it watches the store if it knows no other daemon once its own record is in the store.
 * Daemons that start together write their records within this time. By its end they have found each other
 * (RegistryWatcher.rereadStale), so that only the watchers of a hall ever watch.
 */
const DISCOVERY_MS = 4000;

/** Owns the heartbeats, the membership by the registry, and the propagation of crash records. */
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
        configuration.watcher.setMaxWaitSource(() => this.heartbeats.untilTurnMs(Date.now()));
        context.unresponsiveConnections.onDetected(() => this.#renewStoreConnections());
        gates.setMedianLimitShareSource(service => this.registryMembership?.medianLimitShare(service));
        gates.onEnding(name => this.registryMembership?.recordLeaving(name));
        context.metrics.showMembership(() => this.members.length, () => this.heartbeats.isWatcher);
        configuration.current.onChange(() => this.#applyUpstreamChange());
        configuration.current.onChange(() => this.registryMembership?.gossip.announceRevision());
        this.registryMembership?.onChange(() => this.#applyUpstreamChange());
        configuration.evacuations.onChange(() => this.#checkEvacuatedHalls());
    }

    /** The upstreams that the configuration names, and those that have announced themselves. */
    get upstreams(): readonly Upstream[] {
        return [...this.configuration.current.document.upstreams, ...this.registryMembership?.upstreams ?? []];
    }

    /** This daemon's record and those of the daemons that it knows; empty if there is no registry. */
    get members(): Member[] {
        return this.registryMembership?.members ?? [];
    }

    /** Sets the listener that is called when the upstreams have changed. */
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

    /** Continues calls to the store and watches of it on new connections, because the old ones may be unresponsive. */
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
        const { gateSet, probeBudget } = this.gates;
        return environment.registry && new Membership({
            self,
            incarnation,
            peer,
            settings,
            registry: environment.registry,
            dialect: environment.dialect,
            healthPath: service => probeBudget.healthPath(service),
            onCrashRecords: records => this.gates.crashGuard.merge(records),
            learnedShare: name => gateSet.find(name)?.learnedShare,
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

    /** Returns undefined if there is no registry: the store then holds only the operators' configuration. */
    #createCrashPublisher(): CrashPublisher | undefined {
        const { registry } = this.context.environment;
        return registry && new CrashPublisher({
            guard: this.gates.crashGuard,
            clock: this.context.clock,
            write: (record, leaseMs) => registry.storeCrashRecord(record, leaseMs),
        });
    }

    #createHeartbeats(): HallHeartbeats {
        const { settings, environment, clock, random, self, send, metrics } = this.context;
        const { current, puller, watcher } = this.configuration;
        return new HallHeartbeats({
            self,
            clock,
            random,
            send,
            hall: settings.hall,
            host: settings.host,
            configuration: current,
            metrics,
            confirmationIntervalMs: confirmationIntervalMs(
                keyedAgeLimitMs(settings.policy.keys.maxConfigurationAgeMs),
            ),
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
            onHostLeaving: isLeaving => this.gates.gateSet.setClosed("host-leaving", isLeaving),
        });
    }
}
