/**
 * Heartbeats of those daemons of a hall that watch the store: they carry the revision, and how long ago the store confirmed it.
 *
 * Owns the timers; who watches is decided by watcherelection.ts, who is told when by heartbeatsender.ts. A daemon that receives a
 * higher revision pulls it from the sender.
 */
import type { Document } from "../config/document.js";
import type { Message } from "../datagram/message.js";
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";
import type { HostName } from "../ids/hostname.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { Clock } from "../time/clock.js";
import { Ticker } from "../time/ticker.js";
import type { ConfigurationPuller } from "./configurationpuller.js";
import type { CurrentConfiguration } from "./currentconfiguration.js";
import type { DocumentWatcher } from "./documentwatcher.js";
import { hallMembers } from "./hallmembers.js";
import { HeartbeatSender } from "./heartbeatsender.js";
import type { LeavingHosts } from "./leavinghosts.js";
import { otherHalls } from "./otherhalls.js";
import { rank } from "./rank.js";
import type { WatcherElection } from "./watcherelection.js";

/** How often heartbeats that are due are sent: a round of 2 s in 40 parts. */
const TICK_MS = 50;
/** How often a watcher reads the platform's list of hosts, which lags by more than that; docs/CAPACITY.md reckons with it. */
const HOSTS_EVERY_MS = 1000;
/** An age is sent as a number, and this stands for never. */
const NEVER_MS = 1e9;

/** The tasks that heartbeats go between. */
type HeartbeatParts = {
    readonly self: Address;
    readonly hall: HallName;
    readonly host: HostName;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly configuration: CurrentConfiguration;
    readonly puller: ConfigurationPuller;
    readonly election: WatcherElection;
    readonly watcher: DocumentWatcher;
    readonly leavingHosts: LeavingHosts;
    readonly send: (to: Address, message: Message) => boolean;
    /** Told whether this daemon's own host is on the platform's list of those that leave. */
    readonly onHostLeaving: (leaving: boolean) => void;
};

/** Started once, stopped once. */
export class HallHeartbeats {
    readonly #sender: HeartbeatSender;
    readonly #tickers = [
        new Ticker(TICK_MS, () => this.#tick()),
        new Ticker(HOSTS_EVERY_MS, () => void this.#askHosts()),
    ];

    constructor(private readonly parts: HeartbeatParts) {
        this.#sender = new HeartbeatSender(() => this.#audience(), to => parts.send(to, this.#beat()));
        parts.configuration.onChange(document => this.#follow(document));
    }

    start(): void {
        this.#tickers.forEach(ticker => ticker.start());
    }

    stop(): void {
        this.#tickers.forEach(ticker => ticker.stop());
        this.parts.watcher.set(false);
    }

    /** Applies a heartbeat that was received. */
    receive(beat: Extract<Message, { type: "beat"; }>): void {
        const { clock, configuration, election, puller, host } = this.parts;
        const now = clock();
        election.recordHeartbeat(beat.from, beat.watching, now);
        configuration.confirm(beat.revision, now - beat.ageMs);
        void puller.pull(beat.revision, beat.from).then(() => configuration.confirm(beat.revision, now - beat.ageMs));
        if (beat.watching && !this.parts.watcher.watching) {
            this.parts.onHostLeaving(beat.leaving.includes(host));
        }
    }

    #tick(): void {
        const { clock, election, watcher } = this.parts;
        const now = clock();
        watcher.set(election.shouldWatch(now));
        if (watcher.watching) {
            this.#sender.tick(now);
        }
    }

    async #askHosts(): Promise<void> {
        const { watcher, leavingHosts, host, onHostLeaving } = this.parts;
        if (!watcher.watching) {
            return;
        }
        const before = leavingHosts.names.join();
        await leavingHosts.refresh();
        onHostLeaving(leavingHosts.names.includes(host));
        if (leavingHosts.names.join() !== before) {
            this.#sender.sendSoon();
        }
    }

    #follow(document: Document): void {
        const { election, hall } = this.parts;
        election.setMembers(rank(hallMembers(document, hall), hall));
        this.#sender.sendSoon();
    }

    #audience(): Address[] {
        const { configuration, hall, random, self } = this.parts;
        const gates = [
            ...hallMembers(configuration.document, hall),
            ...otherHalls(configuration.document, hall, random),
        ];
        return gates.filter(gate => gate !== self);
    }

    #beat(): Message {
        const { self, configuration, clock, watcher, leavingHosts } = this.parts;
        return {
            type: "beat",
            from: self,
            revision: configuration.revision,
            ageMs: Math.min(NEVER_MS, Math.max(0, Math.round(configuration.ageMs(clock())))),
            watching: watcher.watching,
            leaving: leavingHosts.names.slice(0, 64),
        };
    }
}
