/**
 * How daemons know each other where upstreams announce themselves.
 *
 * Owns this daemon's own record (the upstreams beside it) and the list of the others. The record goes to the registry and, by
 * gossip, to peers; others' records come the same two ways.
 */
import type { Upstream } from "../config/upstream.js";
import type { Message } from "../datagram/message.js";
import type { Dialect } from "../dialect/dialect.js";
import type { ConfigurationPuller } from "../distribution/configurationpuller.js";
import type { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import type { DocumentWatcher } from "../distribution/documentwatcher.js";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { ServiceName } from "../ids/servicename.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import type { PeerClient } from "../peer/peerclient.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { Clock } from "../time/clock.js";
import { Ticker } from "../time/ticker.js";
import type { Member } from "../wire/member.js";
import type { Announcement } from "./announcement.js";
import { AnnouncementServer } from "./announcementserver.js";
import { Claims } from "./claims.js";
import { findUpstream } from "./findupstream.js";
import { Gossip } from "./gossip.js";
import { LearnedShares } from "./learnedshares.js";
import { LocalUpstreams } from "./localupstreams.js";
import { MemberList } from "./memberlist.js";
import type { MembershipSettings } from "./membershipsettings.js";
import { occupantOf } from "./occupantof.js";
import { RecordPublisher } from "./recordpublisher.js";
import type { Registry } from "./registry.js";
import { RegistryWatcher } from "./registrywatcher.js";
import { upstreamsOf } from "./upstreamsof.js";

/** How often upstreams that have fallen silent are looked for, in milliseconds: a fraction of the silence that ends one. */
const SWEEP_EVERY_MS = 1000;

/** What membership needs of the rest of the daemon. */
type MembershipParts = {
    readonly self: Address;
    readonly incarnation: Incarnation;
    readonly settings: MembershipSettings;
    readonly registry: Registry;
    readonly dialect: Dialect;
    readonly healthPath: (service: ServiceName) => string;
    readonly watcher: DocumentWatcher;
    readonly configuration: CurrentConfiguration;
    readonly puller: ConfigurationPuller;
    readonly peer: PeerClient;
    /** What the gate of an upstream here has learnt of where it slows down, of its slots. */
    readonly learnedShare: (name: UpstreamName) => number | undefined;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly send: (to: Address, message: Message) => boolean;
};

/** Started once, stopped once; `startLeaving` comes before the stop. */
export class Membership {
    readonly gossip: Gossip;
    readonly #local = new LocalUpstreams();
    readonly #claims: Claims;
    readonly #others: MemberList;
    readonly #publisher: RecordPublisher;
    readonly #watcher: RegistryWatcher;
    readonly #announcements: AnnouncementServer;
    readonly #shares: LearnedShares;
    readonly #sweep = new Ticker(SWEEP_EVERY_MS, () => this.#look());
    #listener: () => void = () => {};
    #version = 0;
    #isLeaving = false;
    #storeFailed = false;

    constructor(private readonly parts: MembershipParts) {
        const { self, registry, clock, random, send, configuration, puller, peer } = parts;
        const member = (): Member => this.member;
        this.#shares = new LearnedShares(parts);
        this.#claims = new Claims(
            this.#local,
            ({ address, service }) => occupantOf(address, parts.healthPath(service), parts.dialect),
        );
        this.#others = new MemberList(self);
        this.#others.onChange(() => this.#listener());
        this.#publisher = new RecordPublisher({
            registry,
            member,
            onTrouble: () => this.#storeFailed = true,
            onSuccess: () => this.#storeAnswered(),
        });
        this.#watcher = new RegistryWatcher({
            self,
            registry,
            members: this.#others,
            clock,
            onOwnGone: () => this.#publisher.publishSoon(),
            onOwn: own => this.#shares.recordOwn(own),
        });
        this.gossip = new Gossip({
            self,
            members: this.#others,
            member,
            revision: () => configuration.revision,
            pull: (revision, from) => puller.pull(revision, from),
            ask: address => peer.members(address),
            send,
            clock,
            random,
        });
        this.#announcements = new AnnouncementServer({
            onAnnounced: (name, announcement) => this.#record(name, announcement),
            onLeft: name => this.#remove(name),
        });
    }

    /** This daemon's own record. */
    get member(): Member {
        const { self: gate, incarnation, settings } = this.parts;
        const { host, hall, region } = settings;
        const upstreams = this.#isLeaving ? [] : this.#shares.mark(this.#local.all);
        return { gate, host, hall, region, incarnation, version: this.#version, upstreams };
    }

    /** This daemon first, then all that it knows. */
    get members(): Member[] {
        return [this.member, ...this.#others.members];
    }

    /** All upstreams that there are, those beside this daemon too. */
    get upstreams(): Upstream[] {
        return [...upstreamsOf({ ...this.member, upstreams: this.#local.all }), ...this.#others.upstreams];
    }

    /** Where upstreams of the service were found to slow down, of their slots; undefined while that is not known. */
    usualShare(service: ServiceName): number | undefined {
        return this.#shares.usual(service, this.#others.hosted);
    }

    /** Calls the listener at each change of the upstreams that there are. */
    onChange(listener: () => void): void {
        this.#listener = listener;
    }

    /** Watches the store anew: what waits may wait on a connection that carries nothing any more. */
    renewWatches(): void {
        this.#watcher.renew();
        this.parts.watcher.renew();
    }

    async start(): Promise<void> {
        const { announce } = this.parts.settings;
        if (announce !== undefined) {
            await this.#announcements.listen(announce);
        }
        this.#watcher.start();
        void Promise.all([this.#findUpstream(), this.#watcher.begun]).then(() => {
            this.#nextVersion();
            this.#publisher.start();
        });
        this.parts.watcher.set(true);
        this.gossip.start();
        this.#sweep.start();
    }

    /** Tells peers and the store that this daemon serves no upstream any more; the daemon itself goes on. */
    async startLeaving(): Promise<void> {
        this.#isLeaving = true;
        this.#version += 1;
        this.gossip.announceRecord();
        await this.#publisher.stop();
    }

    stop(): void {
        this.#sweep.stop();
        this.gossip.announceStop();
        this.gossip.stop();
        this.#watcher.stop();
        this.parts.watcher.set(false);
        this.#announcements.close();
    }

    /** Resolves when an upstream is known, or none was found for a while: no record without one is published before. */
    async #findUpstream(): Promise<void> {
        const { settings, dialect, healthPath, clock } = this.parts;
        const { upstream: address, callerService: service } = settings;
        if (address === undefined || service === undefined) {
            return;
        }
        const isWanted = (): boolean => this.#local.all.length === 0 && !this.#isLeaving;
        const found = await findUpstream({
            address,
            service,
            dialect,
            path: () => healthPath(service),
            isWanted,
            clock,
        });
        if (found !== undefined && isWanted()) {
            await this.#record(found.name, found.announcement);
        }
    }

    async #record(name: UpstreamName, announcement: Announcement): Promise<void> {
        if (await this.#claims.record(name, announcement, this.parts.clock())) {
            this.#changed();
        }
    }

    #remove(name: UpstreamName): void {
        if (this.#local.remove(name)) {
            this.#changed();
        }
    }

    #look(): void {
        const now = this.parts.clock();
        if (this.#local.removeSilent(now).length > 0) {
            this.#changed();
        }
        else if (!this.#isLeaving && this.#shares.hasNews(this.#local.all, this.#others.hosted, now)) {
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
        this.#shares.tell(this.#local.all, this.#others.hosted);
    }

    /** Watches that were waiting when the store failed may wait for ever. */
    #storeAnswered(): void {
        if (this.#storeFailed) {
            this.#storeFailed = false;
            this.renewWatches();
        }
    }
}
