/**
 * Heartbeats of those daemons of a hall that watch the store: they carry the revision, how long ago the store confirmed it, how far
 * their list of daemons has come, and which halls are evacuated.
 *
 * Owns the timers; who watches is decided by watcherelection.ts, who is told when by heartbeatsender.ts. A daemon that receives a
 * higher revision pulls it from the sender, and from its own watcher what has changed in the list.
 */
import type { Message } from "../datagram/message.js";
import type { Evacuations } from "../evacuation/evacuations.js";
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";
import type { HostName } from "../ids/hostname.js";
import { sample } from "../policy/placement/sample.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { Clock } from "../time/clock.js";
import { Ticker } from "../time/ticker.js";
import { ChangeThrottle } from "./changethrottle.js";
import type { ConfigurationPuller } from "./configurationpuller.js";
import type { CurrentConfiguration } from "./currentconfiguration.js";
import { hallMembers } from "./hallmembers.js";
import { HeartbeatSender } from "./heartbeatsender.js";
import type { LeavingHosts } from "./leavinghosts.js";
import { otherHalls } from "./otherhalls.js";
import type { Place } from "./place.js";
import { rank } from "./rank.js";
import type { StoreWatch } from "./storewatch.js";
import type { WatcherElection } from "./watcherelection.js";
import type { WatchScope } from "./watchscope.js";

/** How often heartbeats that are due are sent by one that watches: a round of 2 s in 40 parts. */
const TICK_MS = 50;
/** How often it is asked whose turn it is: about the time by which those further back in rank wait longer each. Milliseconds. */
const ELECT_EVERY_MS = 200;
/** How often a watcher reads the platform's list of hosts, which lags by more than that; docs/CAPACITY.md reckons with it. */
const HOSTS_EVERY_MS = 1000;
/** An age is sent as a number, and this stands for never. */
const NEVER_MS = 1e9;
/**
 * Changes of the list of daemons are told at most so often, in milliseconds: where many daemons start at once, each of its part of the
 * hall asks a watcher for some of them at a time: four times in the two seconds that such a start takes.
 */
const TELL_RECORDS_EVERY_MS = 500;
/**
 * What is known of requests under which several upstreams have crashed is told at most so often, and not with the next round only: an
 * upstream is back after a second. Milliseconds.
 */
const TELL_SUSPECTS_EVERY_MS = 250;
/** Of another hall, one of so many is told in each round: those that watch there. */
const RELAYS = 2;

/** The tasks that heartbeats go between. */
type HeartbeatDependencies = {
    readonly self: Address;
    readonly hall: HallName;
    readonly host: HostName;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly configuration: CurrentConfiguration;
    readonly puller: ConfigurationPuller;
    readonly election: WatcherElection;
    readonly watch: StoreWatch;
    /** Where all daemons are, this one too. */
    readonly places: () => readonly Place[];
    readonly leavingHosts: LeavingHosts;
    /** Of what this daemon knows of requests that crash upstreams; what is heard of others' marks is told. */
    readonly crashMark: () => number | undefined;
    /** The same of those under which several have crashed. */
    readonly suspectMark: () => number | undefined;
    readonly onCrashMark: (from: Address, mark: number | undefined) => void;
    readonly evacuations: Evacuations;
    readonly send: (to: Address, message: Message) => boolean;
    /** Called when what this daemon watches in the store has changed. */
    readonly onWatch: () => void;
    /** Told whether this daemon's own host is on the platform's list of those that leave. */
    readonly onHostLeaving: (leaving: boolean) => void;
};

/** Started once, stopped once. */
export class HallHeartbeats {
    readonly #sender: HeartbeatSender;
    readonly #tickers = [
        new Ticker(ELECT_EVERY_MS, () => this.#elect()),
        new Ticker(HOSTS_EVERY_MS, () => void this.#askHosts()),
    ];
    readonly #beats = new Ticker(TICK_MS, () => this.#tick());
    readonly #records = new ChangeThrottle(TELL_RECORDS_EVERY_MS, 0);
    readonly #suspects = new ChangeThrottle<number | undefined>(TELL_SUSPECTS_EVERY_MS, undefined);

    constructor(private readonly deps: HeartbeatDependencies) {
        this.#sender = new HeartbeatSender(() => this.#audience(), to => deps.send(to, this.#beat()));
        deps.configuration.onChange(() => this.#sender.sendSoon());
        deps.evacuations.onChange(() => this.#sender.sendSoon());
    }

    /** True while it is this daemon's turn to watch the store. */
    get watching(): boolean {
        return this.deps.watch.scope === "all";
    }

    /** True while it reads from the store which halls are evacuated. */
    get watchesEvacuations(): boolean {
        return this.deps.watch.scope !== "nothing";
    }

    start(): void {
        this.#tickers.forEach(ticker => ticker.start());
    }

    stop(): void {
        this.#tickers.forEach(ticker => ticker.stop());
        this.#watch("nothing");
    }

    /** Applies who is where; to be called when that has changed. */
    followPlaces(): void {
        const { election, hall, places } = this.deps;
        election.setMembers(rank(hallMembers(places(), hall), hall));
    }

    /** Applies a heartbeat that was received. */
    receive(beat: Extract<Message, { type: "beat"; }>): void {
        const { clock, configuration, election, puller, host, evacuations } = this.deps;
        const now = clock();
        evacuations.recordWord(beat.evacuated);
        election.recordHeartbeat(beat.from, beat.watching, now);
        configuration.confirm(beat.revision, now - beat.ageMs);
        void puller.pull(beat.revision, beat.from).then(() => configuration.confirm(beat.revision, now - beat.ageMs));
        if (beat.watching && !this.watching) {
            this.deps.onHostLeaving(beat.leaving.includes(host));
        }
        this.#followRecords(beat, now);
        this.deps.onCrashMark(beat.from, beat.crashes);
    }

    #followRecords({ from, records }: Extract<Message, { type: "beat"; }>, now: number): void {
        const { election, watch, self } = this.deps;
        const source = election.sourceOf(self, now) ?? from;
        if (records !== undefined && source === from && !this.#isWatching(now)) {
            watch.follow(from, records);
        }
    }

    #isWatching(now: number): boolean {
        const { watch } = this.deps;
        return this.watching && watch.isReached(now);
    }

    #elect(): void {
        const { clock, election, watch } = this.deps;
        const now = clock();
        this.#watch(election.scopeOf(now, watch.isReached(now)));
    }

    #watch(scope: WatchScope): void {
        const { watch } = this.deps;
        if (watch.scope === scope) {
            return;
        }
        watch.set(scope);
        if (scope === "nothing") {
            this.#beats.stop();
        }
        else {
            this.#beats.start();
        }
        this.deps.onWatch();
    }

    #tick(): void {
        const { clock, election, self } = this.deps;
        const now = clock();
        election.recordHeartbeat(self, this.#isWatching(now), now);
        this.#tellRecords(now);
        this.#tellSuspects(now);
        this.#sender.tick(now);
    }

    /** Each watcher tells its part of the hall at once; the rest get to know with their next heartbeat. */
    #tellRecords(now: number): void {
        const { hall, places, watch } = this.deps;
        if (this.#records.pass(watch.records?.at ?? 0, now)) {
            this.#sender.sendSoon(this.#halves(hallMembers(places(), hall), now).own);
        }
    }

    /** To all at once: an upstream that may crash in the meantime is dearer than a heartbeat. */
    #tellSuspects(now: number): void {
        if (this.#suspects.pass(this.deps.suspectMark(), now)) {
            this.#sender.sendSoon();
        }
    }

    async #askHosts(): Promise<void> {
        const { leavingHosts, host, onHostLeaving } = this.deps;
        if (!this.watching) {
            return;
        }
        const before = leavingHosts.names.join();
        await leavingHosts.refresh();
        onHostLeaving(leavingHosts.names.includes(host));
        if (leavingHosts.names.join() !== before) {
            this.#sender.sendSoon();
        }
    }

    /** The own half of the hall first: where the budget cuts a round short, the other watcher has told the other one. */
    #audience(): Address[] {
        const { hall, random, places, clock } = this.deps;
        const all = places();
        const elsewhere = otherHalls(all, hall, RELAYS).flatMap(relays => sample(relays, 1, random));
        const { own, rest } = this.#halves(hallMembers(all, hall), clock());
        return [...own, ...elsewhere, ...rest];
    }

    /** Those of the hall that this daemon tells, and those that another watcher does; without this daemon. */
    #halves(inHall: readonly Address[], now: number): { readonly own: Address[]; readonly rest: Address[]; } {
        const { election, self } = this.deps;
        const others = inHall.filter(gate => gate !== self);
        const isOwn = (gate: Address): boolean => election.sourceOf(gate, now) === self;
        return { own: others.filter(isOwn), rest: others.filter(gate => !isOwn(gate)) };
    }

    #beat(): Message {
        const { self, configuration, clock, watch, leavingHosts, crashMark, evacuations } = this.deps;
        const now = clock();
        const crashes = crashMark();
        const evacuated = evacuations.word;
        return {
            type: "beat",
            from: self,
            revision: configuration.revision,
            ageMs: Math.min(NEVER_MS, Math.max(0, Math.round(configuration.ageMs(now)))),
            watching: this.#isWatching(now),
            leaving: leavingHosts.names.slice(0, 64),
            ...watch.records !== undefined && { records: watch.records },
            ...crashes !== undefined && { crashes },
            ...evacuated !== undefined && { evacuated },
        };
    }
}
