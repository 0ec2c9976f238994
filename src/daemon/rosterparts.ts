/** The parts of a daemon by which it knows the others, where upstreams announce themselves. */
import type { Upstream } from "../config/upstream.js";
import type { Keeper } from "../control/keeper.js";
import type { Message } from "../control/message.js";
import type { Puller } from "../control/puller.js";
import type { StoreWatcher } from "../control/storewatcher.js";
import type { Dialect } from "../dialect/dialect.js";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import type { PeerClient } from "../peer/peerclient.js";
import type { RandomSource } from "../policy/randomsource.js";
import { Announced } from "../roster/announced.js";
import type { Announcement } from "../roster/announcement.js";
import { AnnouncementServer } from "../roster/announcementserver.js";
import { Discovery } from "../roster/discovery.js";
import { Gossip } from "../roster/gossip.js";
import type { Member } from "../roster/member.js";
import { Registrar } from "../roster/registrar.js";
import type { Registry } from "../roster/registry.js";
import { RegistryWatcher } from "../roster/registrywatcher.js";
import { Roster } from "../roster/roster.js";
import { upstreamsOf } from "../roster/upstreamsof.js";
import type { Clock } from "../time/clock.js";
import { sleep } from "../time/sleep.js";
import { Ticker } from "../time/ticker.js";
import type { Measuring } from "./measuring.js";
import type { Settings } from "./settings.js";

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
    readonly measuring: Measuring;
    readonly storeWatcher: StoreWatcher;
    readonly keeper: Keeper;
    readonly puller: Puller;
    readonly peer: PeerClient;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly send: (to: Address, message: Message) => boolean;
    /** Hears of each change of the upstreams that there are. */
    readonly onChange: () => void;
};

/** Owns this daemon's own record. */
export class RosterParts {
    readonly gossip: Gossip;
    readonly #announced = new Announced();
    readonly #roster: Roster;
    readonly #registrar: Registrar;
    readonly #watcher: RegistryWatcher;
    readonly #announcements: AnnouncementServer;
    readonly #sweep = new Ticker(SWEEP_EVERY_MS, () => this.#endSilent());
    #version = 0;
    #going = false;
    #storeFailed = false;

    constructor(private readonly needs: RosterNeeds) {
        const { self, registry, clock, random, send, keeper, puller, peer } = needs;
        const member = (): Member => this.member;
        this.#roster = new Roster(self);
        this.#roster.onChange(() => needs.onChange());
        this.#registrar = new Registrar({
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
            onOwnGone: () => this.#registrar.publish(),
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
        const upstreams = this.#going ? [] : this.#announced.upstreams;
        return { gate, host, hall, region, incarnation, version: this.#version, upstreams };
    }

    /** This daemon first, then all that it knows. */
    get members(): Member[] {
        return [this.member, ...this.#roster.members];
    }

    /** All upstreams that there are, those beside this daemon too. */
    get upstreams(): Upstream[] {
        return [...upstreamsOf({ ...this.member, upstreams: this.#announced.upstreams }), ...this.#roster.upstreams];
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
    async go(): Promise<void> {
        this.#going = true;
        this.#version += 1;
        this.gossip.tellMember();
        await this.#registrar.stop();
    }

    stop(): void {
        this.#sweep.stop();
        this.gossip.tellGoing();
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
        const discovery = new Discovery({ address, service, dialect, path: () => measuring.healthPath(service) });
        const until = clock() + DISCOVER_FOR_MS;
        while (this.#announced.upstreams.length === 0 && !this.#going && clock() < until) {
            const found = await discovery.find();
            if (found !== undefined && this.#announced.upstreams.length === 0) {
                this.#hear(found.name, found.announcement);
                return;
            }
            await sleep(DISCOVER_EVERY_MS);
        }
    }

    #hear(name: UpstreamName, announcement: Announcement): void {
        if (this.#announced.hear(name, announcement, this.needs.clock())) {
            this.#changed();
        }
    }

    #leave(name: UpstreamName): void {
        if (this.#announced.leave(name)) {
            this.#changed();
        }
    }

    #endSilent(): void {
        if (this.#announced.sweep(this.needs.clock()).length > 0) {
            this.#changed();
        }
    }

    /** In force at this daemon before the upstream has its answer. */
    #changed(): void {
        this.#version += 1;
        this.needs.onChange();
        this.gossip.tellMember();
        this.#registrar.publish();
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
