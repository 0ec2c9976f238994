/** Announces new revisions of the configuration to a few random peers, each of which does the same. */
import type { Address } from "../ids/address.js";
import type { Clock } from "../time/clock.js";
import { Ticker } from "../time/ticker.js";

/** Interval at which announcements that exceeded the send budget are sent again. */
const TICK_MS = 100;
/** Announcements of a revision go to other random peers in each round, because datagrams may be lost. */
const ROUNDS = 2;
const ROUND_INTERVAL_MS = 500;

type RevisionGossipDependencies = {
    /** Returns the peers of one round. */
    readonly selectPeers: () => readonly Address[];
    /** Sends a hello, which contains the revision; returns false if the send budget is spent. */
    readonly sendHello: (to: Address) => boolean;
    readonly clock: Clock;
};

/** Runs its timer only while there is something to announce. Times are in milliseconds. */
export class RevisionGossip {
    readonly #ticker = new Ticker(TICK_MS, () => this.#tick());
    #unsent: readonly Address[] = [];
    #roundsLeft = 0;
    #nextRoundAt = 0;
    #isStopped = false;

    constructor(private readonly deps: RevisionGossipDependencies) {}

    /** Announces the revision that is in force now. Does nothing after `stop`: a pull may end while the daemon stops. */
    announce(): void {
        if (this.#isStopped) {
            return;
        }
        this.#roundsLeft = ROUNDS;
        this.#nextRoundAt = this.deps.clock();
        this.#ticker.start();
        this.#tick();
    }

    /** Ends all announcements for good. */
    stop(): void {
        this.#isStopped = true;
        this.#ticker.stop();
    }

    #tick(): void {
        const { clock, selectPeers, sendHello } = this.deps;
        const now = clock();
        if (this.#roundsLeft > 0 && now >= this.#nextRoundAt) {
            this.#roundsLeft -= 1;
            this.#nextRoundAt = now + ROUND_INTERVAL_MS;
            this.#unsent = selectPeers();
        }
        this.#unsent = this.#unsent.filter(peer => !sendHello(peer));
        if (this.#roundsLeft === 0 && this.#unsent.length === 0) {
            this.#ticker.stop();
        }
    }
}
