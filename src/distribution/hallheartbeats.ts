/** Configuration and membership: who watches the store, who is told, and how fresh this daemon's document is. */
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

const TICK_MS = 50;
const HOSTS_EVERY_MS = 1000;
/** An age is sent as a number, and this stands for never. */
const NEVER_MS = 1e9;

/** The tasks that membership is made of. */
type MembershipParts = {
    readonly self: Address;
    readonly hall: HallName;
    readonly host: HostName;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly keeper: CurrentConfiguration;
    readonly puller: ConfigurationPuller;
    readonly election: WatcherElection;
    readonly storeWatcher: DocumentWatcher;
    readonly hostWatcher: LeavingHosts;
    readonly send: (to: Address, message: Message) => boolean;
    /** Hears whether this daemon's own host is on the platform's list of those that leave. */
    readonly onHostLeaving: (leaving: boolean) => void;
};

/** Owns the timers of control. */
export class HallHeartbeats {
    readonly #beater: HeartbeatSender;
    readonly #tickers = [
        new Ticker(TICK_MS, () => this.#tick()),
        new Ticker(HOSTS_EVERY_MS, () => void this.#askHosts()),
    ];

    constructor(private readonly parts: MembershipParts) {
        this.#beater = new HeartbeatSender(() => this.#audience(), to => parts.send(to, this.#beat()));
        parts.keeper.onChange(document => this.#follow(document));
    }

    start(): void {
        this.#tickers.forEach(ticker => ticker.start());
    }

    stop(): void {
        this.#tickers.forEach(ticker => ticker.stop());
        this.parts.storeWatcher.set(false);
    }

    /** Takes in a beat. */
    receive(beat: Extract<Message, { type: "beat"; }>): void {
        const { clock, keeper, election, puller, host } = this.parts;
        const now = clock();
        election.recordHeartbeat(beat.from, beat.watching, now);
        keeper.confirm(beat.revision, now - beat.ageMs);
        void puller.pull(beat.revision, beat.from).then(() => keeper.confirm(beat.revision, now - beat.ageMs));
        if (beat.watching && !this.parts.storeWatcher.watching) {
            this.parts.onHostLeaving(beat.leaving.includes(host));
        }
    }

    #tick(): void {
        const { clock, election, storeWatcher } = this.parts;
        const now = clock();
        storeWatcher.set(election.shouldWatch(now));
        if (storeWatcher.watching) {
            this.#beater.tick(now);
        }
    }

    async #askHosts(): Promise<void> {
        const { storeWatcher, hostWatcher, host, onHostLeaving } = this.parts;
        if (!storeWatcher.watching) {
            return;
        }
        const before = hostWatcher.names.join();
        await hostWatcher.refresh();
        onHostLeaving(hostWatcher.names.includes(host));
        if (hostWatcher.names.join() !== before) {
            this.#beater.sendSoon();
        }
    }

    #follow(document: Document): void {
        const { election, hall } = this.parts;
        election.setMembers(rank(hallMembers(document, hall), hall));
        this.#beater.sendSoon();
    }

    #audience(): Address[] {
        const { keeper, hall, random, self } = this.parts;
        const gates = [...hallMembers(keeper.document, hall), ...otherHalls(keeper.document, hall, random)];
        return gates.filter(gate => gate !== self);
    }

    #beat(): Message {
        const { self, keeper, clock, storeWatcher, hostWatcher } = this.parts;
        return {
            type: "beat",
            from: self,
            revision: keeper.revision,
            ageMs: Math.min(NEVER_MS, Math.max(0, Math.round(keeper.ageMs(clock())))),
            watching: storeWatcher.watching,
            leaving: hostWatcher.names.slice(0, 64),
        };
    }
}
