/**
 * Maintains the list of all daemons and their upstreams where upstreams announce themselves.
 *
 * Owns this daemon's own record (the upstreams beside it) and the list of the other members. It sends the record to the
 * registry and to the relays (selectrelays.ts), which propagate it to the rest. The records of others come from the
 * registry while this daemon is a watcher, and from a watcher of its hall otherwise.
 */
import type { Upstream } from "../config/upstream.js";
import type { Message } from "../datagram/message.js";
import type { Dialect } from "../dialect/dialect.js";
import type { ConfigurationPuller } from "../distribution/configurationpuller.js";
import type { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import type { DocumentWatcher } from "../distribution/documentwatcher.js";
import type { StoreWatch } from "../distribution/storewatch.js";
import type { Evacuations } from "../evacuation/evacuations.js";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { ServiceName } from "../ids/servicename.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import type { PeerClient } from "../peer/peerclient.js";
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { Clock } from "../time/clock.js";
import type { Member } from "../wire/member.js";
import type { RecordChanges } from "../wire/recordchanges.js";
import type { RecordsPosition } from "../wire/recordsposition.js";
import { Gossip } from "./gossip.js";
import { LearnedShares } from "./learnedshares.js";
import { LocalUpstreams } from "./localupstreams.js";
import { MemberList } from "./memberlist.js";
import type { MembershipSettings } from "./membershipsettings.js";
import { MembershipWatch } from "./membershipwatch.js";
import { RecordFollower } from "./recordfollower.js";
import { RecordPublisher } from "./recordpublisher.js";
import type { Registry } from "./registry.js";
import { RegistryWatcher } from "./registrywatcher.js";
import { selectRelays } from "./selectrelays.js";
import { upstreamsOf } from "./upstreamsof.js";

type MembershipDependencies = {
    readonly self: Address;
    readonly incarnation: Incarnation;
    readonly settings: MembershipSettings;
    readonly registry: Registry;
    readonly dialect: Dialect;
    readonly healthPath: (service: ServiceName) => string;
    readonly documentWatcher: DocumentWatcher;
    readonly configuration: CurrentConfiguration;
    readonly evacuations: Evacuations;
    readonly puller: ConfigurationPuller;
    readonly peer: PeerClient;
    /** Returns the knee of an upstream beside this daemon as a share of its slots; undefined while it is not known. */
    readonly learnedShare: (name: UpstreamName) => number | undefined;
    /** Called with the records in the store of requests that crash upstreams. */
    readonly onCrashRecords: (records: readonly CrashRecord[]) => void;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly send: (to: Address, message: Message) => boolean;
};

/** Can be started and stopped once; `startLeaving` has to be called before `stop`. */
export class Membership {
    readonly gossip: Gossip;
    readonly #localUpstreams: LocalUpstreams;
    readonly #memberList: MemberList;
    readonly #publisher: RecordPublisher;
    readonly #registryWatcher: RegistryWatcher;
    readonly #storeWatch: MembershipWatch;
    readonly #learnedShares: LearnedShares;
    #listener: () => void = () => {};
    #version = 0;
    #isLeaving = false;

    constructor(private readonly deps: MembershipDependencies) {
        this.#learnedShares = new LearnedShares(deps);
        this.#localUpstreams = new LocalUpstreams({
            ...deps,
            onChange: () => this.#onLocalUpstreamsChanged(),
            onSweep: () => this.#publishChangedShares(),
        });
        this.#memberList = new MemberList(deps.self);
        this.#memberList.onChange(() => this.#listener());
        this.#publisher = this.#createPublisher();
        this.#registryWatcher = this.#createRegistryWatcher();
        this.#storeWatch = this.#createStoreWatch();
        this.gossip = this.#createGossip();
    }

    /** The watches of the store, which run while this daemon is a watcher. */
    get watch(): StoreWatch {
        return this.#storeWatch;
    }

    /** This daemon's own record. */
    get member(): Member {
        const { self: gate, incarnation, settings } = this.deps;
        const { host, hall, region } = settings;
        const upstreams = this.#isLeaving ? [] : this.#learnedShares.withShares(this.#localUpstreams.all);
        return { gate, host, hall, region, incarnation, version: this.#version, upstreams };
    }

    /** The records of all daemons that are known, this daemon's own one first. */
    get members(): Member[] {
        return [this.member, ...this.#memberList.members];
    }

    /** All upstreams that are known, including those beside this daemon. */
    get upstreams(): Upstream[] {
        return [...upstreamsOf({ ...this.member, upstreams: this.#localUpstreams.all }), ...this.#memberList.upstreams];
    }

    /** Returns the changes after the position `after`, or the whole list; both include this daemon's own record. */
    changesSince(after: RecordsPosition | undefined): RecordChanges {
        const { incarnation: life } = this.deps;
        const { complete, members, gone } = this.#memberList.changesSince(after?.life === life ? after.at : undefined);
        return { mark: { life, at: this.#memberList.changeCount }, complete, members: [this.member, ...members], gone };
    }

    /** Returns the median knee of the service's upstreams as a share of their slots, or undefined if not known. */
    medianLimitShare(service: ServiceName): number | undefined {
        return this.#learnedShares.medianShareOf(service, this.#memberList.hostedUpstreams);
    }

    /** Records that an upstream beside this daemon states in its responses that it is leaving permanently. */
    recordLeaving(name: UpstreamName): void {
        this.#localUpstreams.recordLeaving(name);
    }

    /** Sets the listener that is called after each change of the known upstreams. */
    onChange(listener: () => void): void {
        this.#listener = listener;
    }

    /** Starts the watches of the store again, since the present ones may be waiting on an unresponsive connection. */
    restartWatches(): void {
        this.#storeWatch.restart();
    }

    /** Resolves when the daemon listens for announcements; the record is published in the background. */
    async start(): Promise<void> {
        await this.#localUpstreams.listen();
        void this.#publishFirstRecord();
        this.gossip.start();
    }

    /** Publishes this daemon's record; if it knows no other member, reads again: others may just have started. */
    async #publishFirstRecord(): Promise<void> {
        await Promise.all([this.#localUpstreams.discover(), this.#registryWatcher.readStale()]);
        this.#incrementVersion();
        this.#publisher.start();
        if (this.#memberList.size === 0) {
            await this.#registryWatcher.rereadStale();
        }
    }

    /** Notifies peers that this daemon serves no upstream any more, and withdraws its record; it keeps running. */
    async startLeaving(): Promise<void> {
        this.#isLeaving = true;
        this.#localUpstreams.startLeaving();
        this.#incrementVersion();
        this.gossip.announceRecord();
        await this.#publisher.stop();
    }

    stop(): void {
        this.gossip.announceStop();
        this.gossip.stop();
        this.#storeWatch.setScope("nothing");
        this.#localUpstreams.stop();
    }

    #createPublisher(): RecordPublisher {
        const { registry, clock } = this.deps;
        return new RecordPublisher({
            registry,
            ownRecord: () => this.member,
            isWatching: () => this.#storeWatch.scope === "all",
            onFailure: () => this.#storeWatch.recordFailure(),
            onSuccess: () => this.#storeWatch.recordResponse(clock()),
        });
    }

    #createRegistryWatcher(): RegistryWatcher {
        const { self, registry, clock, onCrashRecords } = this.deps;
        return new RegistryWatcher({
            self,
            onCrashRecords,
            registry,
            memberList: this.#memberList,
            clock,
            onOwnUnregistered: () => this.#publisher.publishSoon(),
            onOwnRecord: record => this.#learnedShares.recordOwn(record),
        });
    }

    #createStoreWatch(): MembershipWatch {
        const { incarnation, documentWatcher, clock, peer } = this.deps;
        const memberList = this.#memberList;
        return new MembershipWatch({
            incarnation,
            memberList,
            registryWatcher: this.#registryWatcher,
            documentWatcher,
            follower: new RecordFollower({ memberList, clock, fetch: (gate, after) => peer.records(gate, after) }),
        });
    }

    #createGossip(): Gossip {
        const { self, settings, configuration, evacuations, puller, peer, send, clock, random } = this.deps;
        return new Gossip({
            self,
            memberList: this.#memberList,
            ownRecord: () => this.member,
            relays: () => selectRelays(this.members, settings.hall, self),
            configurationRevision: () => configuration.revision,
            pullConfiguration: (revision, from) => puller.pull(revision, from),
            evacuations,
            fetchRecord: address => peer.member(address),
            fetchAllRecords: address => peer.records(address, undefined),
            send,
            clock,
            random,
        });
    }

    #publishChangedShares(): void {
        if (this.#learnedShares.isDue(this.#localUpstreams.all, this.#memberList.hostedUpstreams, this.deps.clock())) {
            this.#publishRecord();
        }
    }

    /** Applies the change at this daemon; that comes before the response to the upstream's announcement. */
    #onLocalUpstreamsChanged(): void {
        this.#listener();
        this.#publishRecord();
    }

    /** Sends a new version of this daemon's record to the relays and to the store. */
    #publishRecord(): void {
        this.#incrementVersion();
        this.gossip.announceRecord();
        this.#publisher.publishSoon();
    }

    #incrementVersion(): void {
        this.#version += 1;
        this.#memberList.countOwnChange();
        this.#learnedShares.setPublished(this.#localUpstreams.all, this.#memberList.hostedUpstreams);
    }
}
