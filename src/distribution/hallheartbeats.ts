/**
 * Sends the heartbeats of a daemon that watches the store for its hall, and applies those that it receives.
 *
 * A heartbeat carries the configuration revision, the time since the store confirmed it, the position of the sender's
 * list of daemons, and the evacuated halls. A daemon that receives a higher revision pulls the configuration from the
 * sender. It pulls changes of the list of daemons from the watcher that it follows.
 *
 * Owns the timers. watcherelection.ts decides which daemons watch, heartbeatsender.ts who gets a heartbeat when.
 */
import type { Message } from "../datagram/message.js";
import type { Address } from "../ids/address.js";
import { untilTurnMs } from "../policy/distribution/untilturnms.js";
import { sample } from "../policy/placement/sample.js";
import { Ticker } from "../time/ticker.js";
import { ChangeThrottle } from "./changethrottle.js";
import { hallMembers } from "./hallmembers.js";
import { HeartbeatConfirmations } from "./heartbeatconfirmations.js";
import type { HeartbeatDependencies } from "./heartbeatdependencies.js";
import { HeartbeatSender } from "./heartbeatsender.js";
import { otherHallCandidates } from "./otherhallcandidates.js";
import { partitionHall } from "./partitionhall.js";
import { rank } from "./rank.js";
import { RevisionAnnouncements } from "./revisionannouncements.js";
import { watchersPerHall } from "./watchersperhall.js";
import type { WatchScope } from "./watchscope.js";

/** Interval at which a watcher sends the heartbeats that are due: divides a round of 2 s into 40 parts. */
const TICK_MS = 50;
/** Interval between evaluations of what this daemon watches; equals the delay that each rank adds (RANK_DELAY_MS). */
const ELECTION_INTERVAL_MS = 200;
/** Interval between reads of the platform's host list, which itself lags by more; docs/CAPACITY.md uses this value. */
const HOST_LIST_INTERVAL_MS = 1000;
/** Age that is sent if the store has never confirmed the revision, since the field has to be a finite number. */
const NEVER_MS = 1e9;
/**
 * Minimum time between two notices of changes in the list of daemons. Each notice makes all followers request them.
 * When many daemons start at once, which takes two seconds, this limits each follower to four requests.
 */
const RECORDS_NOTICE_INTERVAL_MS = 500;
/**
 * Minimum time between two notices of changes in the records of requests under which several upstreams have crashed.
 * Shorter than a round of heartbeats, because a crashed upstream has restarted, and can be crashed again, after one
 * second.
 */
const SUSPECTS_NOTICE_INTERVAL_MS = 250;
/** Number of likely watchers of another hall, the first in rank; one of them gets a heartbeat in each round. */
const MAX_CANDIDATES = 2;

/** Sends and applies the heartbeats of one daemon. `start` and `stop` are each called once. */
export class HallHeartbeats {
    readonly #sender: HeartbeatSender;
    readonly #confirmations: HeartbeatConfirmations;
    readonly #announcements: RevisionAnnouncements;
    readonly #tickers = [
        new Ticker(ELECTION_INTERVAL_MS, () => this.#updateScope()),
        new Ticker(HOST_LIST_INTERVAL_MS, () => void this.#refreshLeavingHosts()),
    ];
    readonly #heartbeatTicker = new Ticker(TICK_MS, () => this.#tick());
    readonly #recordsThrottle = new ChangeThrottle(RECORDS_NOTICE_INTERVAL_MS, 0);
    readonly #suspectsThrottle = new ChangeThrottle<number | undefined>(SUSPECTS_NOTICE_INTERVAL_MS, undefined);

    constructor(private readonly deps: HeartbeatDependencies) {
        this.#confirmations = new HeartbeatConfirmations(deps.confirmationIntervalMs);
        this.#sender = new HeartbeatSender(() => this.#recipients(), to => deps.send(to, this.#createHeartbeat()));
        this.#announcements = new RevisionAnnouncements(this.#sender, deps.metrics);
        deps.configuration.onChange(({ revision }) => this.#announce(revision));
        deps.evacuations.onChange(() => this.#sender.sendSoon());
    }

    /** True while this daemon is one of the watchers of its hall. */
    get isWatcher(): boolean {
        return this.deps.watch.scope === "all";
    }

    /** True while this daemon reads the evacuated halls from the store. */
    get watchesEvacuations(): boolean {
        return this.deps.watch.scope !== "nothing";
    }

    /** Returns the time until this daemon, as a watcher, should renew its watch of the configuration. */
    untilTurnMs(timeOfDayMs: number): number {
        const { hall, locations, election } = this.deps;
        const halls = [...new Set(locations().map(location => location.hall))].sort();
        const placeInHall = Math.max(0, election.ownRank) % watchersPerHall;
        const index = Math.max(0, halls.indexOf(hall)) * watchersPerHall + placeInHall;
        return untilTurnMs({ index, count: Math.max(1, halls.length) * watchersPerHall }, timeOfDayMs);
    }

    start(): void {
        this.#tickers.forEach(ticker => ticker.start());
    }

    stop(): void {
        this.#tickers.forEach(ticker => ticker.stop());
        this.#setScope("nothing");
    }

    /** Updates the members of the hall; the owner calls it when the location of a daemon has changed. */
    updateMembers(): void {
        const { election, hall, locations } = this.deps;
        election.setMembers(rank(hallMembers(locations(), hall), hall));
    }

    /** Applies a received heartbeat. */
    receive(heartbeat: Extract<Message, { type: "beat"; }>): void {
        const { clock, configuration, election, puller, host, evacuations } = this.deps;
        const now = clock();
        evacuations.recordPropagated(heartbeat.evacuated);
        election.recordHeartbeat(heartbeat.from, heartbeat.watching, now);
        const confirmedAt = this.#confirmations.confirmedAt(heartbeat.ageMs, now);
        configuration.confirm(heartbeat.revision, confirmedAt);
        void puller.pull(heartbeat.revision, heartbeat.from).then(() =>
            configuration.confirm(heartbeat.revision, confirmedAt)
        );
        if (heartbeat.watching && !this.isWatcher) {
            this.deps.onHostLeaving(heartbeat.leaving.includes(host));
        }
        this.#followWatcher(heartbeat, now);
        this.deps.onCrashDigest(heartbeat.from, heartbeat.crashes);
    }

    #followWatcher({ from, records }: Extract<Message, { type: "beat"; }>, now: number): void {
        const { election, watch, self } = this.deps;
        const watcher = election.watcherFor(self, now) ?? from;
        if (records !== undefined && watcher === from && !this.#isActiveWatcher(now)) {
            watch.follow(from, records);
        }
    }

    /** Returns true if this daemon is a watcher and the store responds to it. */
    #isActiveWatcher(now: number): boolean {
        const { watch } = this.deps;
        return this.isWatcher && watch.isStoreReachable(now);
    }

    #updateScope(): void {
        const { clock, election, watch } = this.deps;
        const now = clock();
        this.#confirmations.tick(now);
        this.#setScope(election.scopeAt(now, watch.isStoreReachable(now)));
    }

    #setScope(scope: WatchScope): void {
        const { watch } = this.deps;
        if (watch.scope === scope) {
            return;
        }
        watch.setScope(scope);
        if (scope === "nothing") {
            this.#heartbeatTicker.stop();
        }
        else {
            this.#heartbeatTicker.start();
        }
        this.deps.onScopeChange();
    }

    #tick(): void {
        const { clock, election, self } = this.deps;
        const now = clock();
        election.recordHeartbeat(self, this.#isActiveWatcher(now), now);
        this.#notifyRecordChange(now);
        this.#notifySuspectChange(now);
        this.#notifyConfirmation(now);
        this.#sender.tick(now);
        this.#announcements.check(now);
    }

    #announce(revision: number): void {
        this.#sender.sendSoon();
        if (this.watchesEvacuations) {
            this.#announcements.begin(revision, this.deps.clock());
        }
    }

    /** Sends heartbeats at once to this daemon's followers; the rest of the hall gets the change in the next round. */
    #notifyRecordChange(now: number): void {
        if (this.#recordsThrottle.pass(this.deps.watch.records?.at ?? 0, now)) {
            this.#sender.sendSoon(this.#partitionHall(now).followers);
        }
    }

    /** Under strict revocation, sends heartbeats to this daemon's followers once the store has responded. */
    #notifyConfirmation(now: number): void {
        if (this.#confirmations.shouldSend(this.deps.configuration.confirmedAt, now)) {
            this.#sender.sendSoon(this.#partitionHall(now).followers);
        }
    }

    /** Sends heartbeats to all recipients at once: another crashed upstream costs more than a few early heartbeats. */
    #notifySuspectChange(now: number): void {
        if (this.#suspectsThrottle.pass(this.deps.suspectDigest(), now)) {
            this.#sender.sendSoon();
        }
    }

    async #refreshLeavingHosts(): Promise<void> {
        const { leavingHosts, host, onHostLeaving } = this.deps;
        if (!this.isWatcher) {
            return;
        }
        const before = leavingHosts.names.join();
        await leavingHosts.refresh();
        onHostLeaving(leavingHosts.names.includes(host));
        if (leavingHosts.names.join() !== before) {
            this.#sender.sendSoon();
        }
    }

    /** Returns the recipients, followers first: if the send budget runs out, the other watcher reaches the rest. */
    #recipients(): Address[] {
        const { hall, random, locations, clock } = this.deps;
        const remote = otherHallCandidates(locations(), hall, MAX_CANDIDATES).flatMap(gates =>
            sample(gates, 1, random)
        );
        const { followers, rest } = this.#partitionHall(clock());
        return [...followers, ...remote, ...rest];
    }

    #partitionHall(now: number): ReturnType<typeof partitionHall> {
        const { election, self, hall, locations } = this.deps;
        return partitionHall(hallMembers(locations(), hall), self, gate => election.watcherFor(gate, now));
    }

    #createHeartbeat(): Message {
        const { self, configuration, clock, watch, leavingHosts, crashDigest, evacuations } = this.deps;
        const now = clock();
        const crashes = crashDigest();
        const evacuated = evacuations.stateForPeers;
        return {
            type: "beat",
            from: self,
            revision: configuration.revision,
            ageMs: Math.min(NEVER_MS, Math.max(0, Math.round(configuration.ageMs(now)))),
            watching: this.#isActiveWatcher(now),
            leaving: leavingHosts.names.slice(0, 64),
            ...watch.records !== undefined && { records: watch.records },
            ...crashes !== undefined && { crashes },
            ...evacuated !== undefined && { evacuated },
        };
    }
}
