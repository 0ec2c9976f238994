/**
 * How daemons know each other where upstreams announce themselves.
 *
 * Owns this daemon's own record (the upstreams beside it) and the list of the others. The record goes to the registry and to those that
 * tell the rest; others' records come from the registry while it is this daemon's turn to watch it, and else from a watcher.
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
import type { RecordsMark } from "../wire/recordsmark.js";
import { Gossip } from "./gossip.js";
import { LearnedShares } from "./learnedshares.js";
import { MemberList } from "./memberlist.js";
import type { MembershipSettings } from "./membershipsettings.js";
import { MembershipWatch } from "./membershipwatch.js";
import { OwnUpstreams } from "./ownupstreams.js";
import { RecordFollower } from "./recordfollower.js";
import { RecordPublisher } from "./recordpublisher.js";
import type { Registry } from "./registry.js";
import { RegistryWatcher } from "./registrywatcher.js";
import { relaysOf } from "./relaysof.js";
import { upstreamsOf } from "./upstreamsof.js";

/** What membership needs of the rest of the daemon. */
type MembershipDependencies = {
    readonly self: Address;
    readonly incarnation: Incarnation;
    readonly settings: MembershipSettings;
    readonly registry: Registry;
    readonly dialect: Dialect;
    readonly healthPath: (service: ServiceName) => string;
    readonly watcher: DocumentWatcher;
    readonly configuration: CurrentConfiguration;
    readonly evacuations: Evacuations;
    readonly puller: ConfigurationPuller;
    readonly peer: PeerClient;
    /** What the gate of an upstream here has learnt of where it slows down, of its slots. */
    readonly learnedShare: (name: UpstreamName) => number | undefined;
    /** Told of what the store keeps of requests that crash upstreams. */
    readonly onCrashRecords: (records: readonly CrashRecord[]) => void;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly send: (to: Address, message: Message) => boolean;
};

/** Started once, stopped once; `startLeaving` comes before the stop. */
export class Membership {
    readonly gossip: Gossip;
    readonly #own: OwnUpstreams;
    readonly #others: MemberList;
    readonly #publisher: RecordPublisher;
    readonly #records: RegistryWatcher;
    readonly #watch: MembershipWatch;
    readonly #shares: LearnedShares;
    #listener: () => void = () => {};
    #version = 0;
    #isLeaving = false;

    constructor(private readonly deps: MembershipDependencies) {
        this.#shares = new LearnedShares(deps);
        this.#own = new OwnUpstreams({
            ...deps,
            onChange: () => this.#changed(),
            onSweep: () => this.#tellNews(),
        });
        this.#others = new MemberList(deps.self);
        this.#others.onChange(() => this.#listener());
        this.#publisher = this.#makePublisher();
        this.#records = this.#makeRecords();
        this.#watch = this.#makeWatch();
        this.gossip = this.#makeGossip();
    }

    /** What is watched in the store while it is this daemon's turn. */
    get watch(): StoreWatch {
        return this.#watch;
    }

    /** This daemon's own record. */
    get member(): Member {
        const { self: gate, incarnation, settings } = this.deps;
        const { host, hall, region } = settings;
        const upstreams = this.#isLeaving ? [] : this.#shares.mark(this.#own.all);
        return { gate, host, hall, region, incarnation, version: this.#version, upstreams };
    }

    /** This daemon first, then all that it knows. */
    get members(): Member[] {
        return [this.member, ...this.#others.members];
    }

    /** All upstreams that there are, those beside this daemon too. */
    get upstreams(): Upstream[] {
        return [...upstreamsOf({ ...this.member, upstreams: this.#own.all }), ...this.#others.upstreams];
    }

    /** What a peer lacks whose copy of this list has come so far, or has none; this daemon's own record is always there. */
    changesSince(have: RecordsMark | undefined): RecordChanges {
        const { incarnation: life } = this.deps;
        const { complete, members, gone } = this.#others.changesSince(have?.life === life ? have.at : undefined);
        return { mark: { life, at: this.#others.changes }, complete, members: [this.member, ...members], gone };
    }

    /** Where upstreams of the service were found to slow down, of their slots; undefined while that is not known. */
    usualShare(service: ServiceName): number | undefined {
        return this.#shares.usual(service, this.#others.hosted);
    }

    /** Records that an upstream beside this daemon says in its answers that it leaves for good. */
    recordEnding(name: UpstreamName): void {
        this.#own.recordEnding(name);
    }

    /** Calls the listener at each change of the upstreams that there are. */
    onChange(listener: () => void): void {
        this.#listener = listener;
    }

    /** Watches the store anew: what waits may wait on a connection that carries nothing any more. */
    renewWatches(): void {
        this.#watch.renew();
    }

    async start(): Promise<void> {
        await this.#own.listen();
        void this.#begin();
        this.gossip.start();
    }

    /** Publishes the own record; where nobody was known before, the others may just have started too. */
    async #begin(): Promise<void> {
        await Promise.all([this.#own.find(), this.#records.readOld()]);
        this.#nextVersion();
        this.#publisher.start();
        if (this.#others.size === 0) {
            await this.#records.lookAgain();
        }
    }

    /** Tells peers and the store that this daemon serves no upstream any more; the daemon itself goes on. */
    async startLeaving(): Promise<void> {
        this.#isLeaving = true;
        this.#own.startLeaving();
        this.#nextVersion();
        this.gossip.announceRecord();
        await this.#publisher.stop();
    }

    stop(): void {
        this.gossip.announceStop();
        this.gossip.stop();
        this.#watch.set("nothing");
        this.#own.stop();
    }

    #makePublisher(): RecordPublisher {
        const { registry, clock } = this.deps;
        return new RecordPublisher({
            registry,
            member: () => this.member,
            isWatching: () => this.#watch.scope === "all",
            onTrouble: () => this.#watch.recordFailure(),
            onSuccess: () => this.#watch.recordAnswer(clock()),
        });
    }

    #makeRecords(): RegistryWatcher {
        const { self, registry, clock, onCrashRecords } = this.deps;
        return new RegistryWatcher({
            self,
            onCrashRecords,
            registry,
            members: this.#others,
            clock,
            onOwnGone: () => this.#publisher.publishSoon(),
            onOwn: own => this.#shares.recordOwn(own),
        });
    }

    #makeWatch(): MembershipWatch {
        const { incarnation, watcher, clock, peer } = this.deps;
        const members = this.#others;
        return new MembershipWatch({
            incarnation,
            members,
            records: this.#records,
            configuration: watcher,
            follower: new RecordFollower({ members, clock, ask: (address, have) => peer.records(address, have) }),
        });
    }

    #makeGossip(): Gossip {
        const { self, settings, configuration, evacuations, puller, peer, send, clock, random } = this.deps;
        return new Gossip({
            self,
            members: this.#others,
            member: () => this.member,
            relays: () => relaysOf(this.members, settings.hall, self),
            revision: () => configuration.revision,
            pull: (revision, from) => puller.pull(revision, from),
            evacuations,
            askOwn: address => peer.member(address),
            askAll: address => peer.records(address, undefined),
            send,
            clock,
            random,
        });
    }

    #tellNews(): void {
        if (this.#shares.hasNews(this.#own.all, this.#others.hosted, this.deps.clock())) {
            this.#tell();
        }
    }

    /** Applied at this daemon before the upstream has its answer. */
    #changed(): void {
        this.#listener();
        this.#tell();
    }

    /** A new version of this daemon's record, to peers and to the store. */
    #tell(): void {
        this.#nextVersion();
        this.gossip.announceRecord();
        this.#publisher.publishSoon();
    }

    #nextVersion(): void {
        this.#version += 1;
        this.#others.countOwnChange();
        this.#shares.tell(this.#own.all, this.#others.hosted);
    }
}
