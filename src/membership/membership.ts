/** The parts of a daemon by which it knows the others, where upstreams announce themselves. */
import type { Upstream } from "../config/upstream.js";
import type { Settings } from "../daemon/settings.js";
import type { Message } from "../datagram/message.js";
import type { Dialect } from "../dialect/dialect.js";
import type { ConfigurationPuller } from "../distribution/configurationpuller.js";
import type { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import type { DocumentWatcher } from "../distribution/documentwatcher.js";
import type { ProbeBudget } from "../health/probebudget.js";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import type { PeerClient } from "../peer/peerclient.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { Clock } from "../time/clock.js";
import { sleep } from "../time/sleep.js";
import { Ticker } from "../time/ticker.js";
import type { Announcement } from "./announcement.js";
import { AnnouncementServer } from "./announcementserver.js";
import { Gossip } from "./gossip.js";
import { LocalUpstreams } from "./localupstreams.js";
import type { Member } from "./member.js";
import { MemberList } from "./memberlist.js";
import { RecordPublisher } from "./recordpublisher.js";
import type { Registry } from "./registry.js";
import { RegistryWatcher } from "./registrywatcher.js";
import { UpstreamDiscovery } from "./upstreamdiscovery.js";
import { upstreamsOf } from "./upstreamsof.js";

const SWEEP_EVERY_MS = 1000;
/** For so long after a start the upstream is looked for, and no record without one is published. */
const DISCOVER_FOR_MS = 2000;
const DISCOVER_EVERY_MS = 200;

/** What these parts need of the rest of the daemon. */
type RosterNeeds = {
    readonly self: Address;
    readonly incarnation: Incarnation;
    readonly settings: Settings;
    readonly registry: Registry;
    readonly dialect: Dialect;
    readonly measuring: ProbeBudget;
    readonly storeWatcher: DocumentWatcher;
    readonly keeper: CurrentConfiguration;
    readonly puller: ConfigurationPuller;
    readonly peer: PeerClient;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly send: (to: Address, message: Message) => boolean;
    /** Hears of each change of the upstreams that there are. */
    readonly onChange: () => void;
};

/** Owns this daemon's own record. */
export class Membership {
    readonly gossip: Gossip;
    readonly #announced = new LocalUpstreams();
    readonly #roster: MemberList;
    readonly #registrar: RecordPublisher;
    readonly #watcher: RegistryWatcher;
    readonly #announcements: AnnouncementServer;
    readonly #sweep = new Ticker(SWEEP_EVERY_MS, () => this.#endSilent());
    #version = 0;
    #going = false;
    #storeFailed = false;

    constructor(private readonly needs: RosterNeeds) {
        const { self, registry, clock, random, send, keeper, puller, peer } = needs;
        const member = (): Member => this.member;
        this.#roster = new MemberList(self);
        this.#roster.onChange(() => needs.onChange());
        this.#registrar = new RecordPublisher({
            registry,
            member,
            onTrouble: () => this.#storeFailed = true,
            onSuccess: () => this.#storeAnswers(),
        });
        this.#watcher = new RegistryWatcher({
            self,
            registry,
            roster: this.#roster,
            clock,
            onOwnGone: () => this.#registrar.publishSoon(),
        });
        this.gossip = new Gossip({
            self,
            roster: this.#roster,
            member,
            revision: () => keeper.revision,
            pull: (revision, from) => puller.pull(revision, from),
            ask: address => peer.members(address),
            send,
            clock,
            random,
        });
        this.#announcements = new AnnouncementServer({
            announced: (name, announcement) => this.#hear(name, announcement),
            left: name => this.#leave(name),
        });
    }

    /** This daemon's own record. */
    get member(): Member {
        const { self: gate, incarnation, settings } = this.needs;
        const { host, hall, region } = settings;
        const upstreams = this.#going ? [] : this.#announced.all;
        return { gate, host, hall, region, incarnation, version: this.#version, upstreams };
    }

    /** This daemon first, then all that it knows. */
    get members(): Member[] {
        return [this.member, ...this.#roster.members];
    }

    /** All upstreams that there are, those beside this daemon too. */
    get upstreams(): Upstream[] {
        return [...upstreamsOf({ ...this.member, upstreams: this.#announced.all }), ...this.#roster.upstreams];
    }

    async start(): Promise<void> {
        const { announce } = this.needs.settings;
        if (announce !== undefined) {
            await this.#announcements.listen(announce);
        }
        void this.#discover().then(() => this.#registrar.start());
        this.#watcher.start();
        this.needs.storeWatcher.set(true);
        this.gossip.start();
        this.#sweep.start();
    }

    /** Tells peers and the store that this daemon serves no upstream any more; the daemon itself goes on. */
    async startLeaving(): Promise<void> {
        this.#going = true;
        this.#version += 1;
        this.gossip.announceRecord();
        await this.#registrar.stop();
    }

    stop(): void {
        this.#sweep.stop();
        this.gossip.announceStop();
        this.gossip.stop();
        this.#watcher.stop();
        this.needs.storeWatcher.set(false);
        this.#announcements.close();
    }

    /** Resolves when an upstream is known, or none was found for a while. */
    async #discover(): Promise<void> {
        const { settings, dialect, measuring, clock } = this.needs;
        const { upstream: address, callerService: service } = settings;
        if (address === undefined || service === undefined) {
            return;
        }
        const discovery = new UpstreamDiscovery({
            address,
            service,
            dialect,
            path: () => measuring.healthPath(service),
        });
        const until = clock() + DISCOVER_FOR_MS;
        while (this.#announced.all.length === 0 && !this.#going && clock() < until) {
            const found = await discovery.find();
            if (found !== undefined && this.#announced.all.length === 0) {
                this.#hear(found.name, found.announcement);
                return;
            }
            await sleep(DISCOVER_EVERY_MS);
        }
    }

    #hear(name: UpstreamName, announcement: Announcement): void {
        if (this.#announced.record(name, announcement, this.needs.clock())) {
            this.#changed();
        }
    }

    #leave(name: UpstreamName): void {
        if (this.#announced.remove(name)) {
            this.#changed();
        }
    }

    #endSilent(): void {
        if (this.#announced.removeSilent(this.needs.clock()).length > 0) {
            this.#changed();
        }
    }

    /** In force at this daemon before the upstream has its answer. */
    #changed(): void {
        this.#version += 1;
        this.needs.onChange();
        this.gossip.announceRecord();
        this.#registrar.publishSoon();
    }

    /** Watches that were waiting when the store failed may wait for ever. */
    #storeAnswers(): void {
        if (this.#storeFailed) {
            this.#storeFailed = false;
            this.#watcher.renew();
            this.needs.storeWatcher.renew();
        }
    }
}
