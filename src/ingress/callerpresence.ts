/**
 * Determines whether the caller of one connection has left.
 *
 * Owns the probe that tells a caller that has left from one that has only shut down its sending side.
 */
import type { Socket } from "node:net";
import { afterRecentPoll } from "../time/afterrecentpoll.js";
import type { Clock } from "../time/clock.js";
import { maxFreshMs } from "../time/maxfreshms.js";
import type { UnreadMonitor } from "../time/unreadmonitor.js";
import type { AcceptMonitor } from "./acceptmonitor.js";
import { DisconnectProbe } from "./disconnectprobe.js";

/** What the connection provides. */
type PresenceDependencies = {
    readonly clock: Clock;
    readonly unread: UnreadMonitor;
    readonly accepts: AcceptMonitor;
    /** Returns true while reading is paused: a poll then tells nothing. */
    readonly isPaused: () => boolean;
    /** Returns false while no request waits for a response, and once a response has begun. */
    readonly mayProbe: () => boolean;
};

/** Times are in milliseconds on the daemon's clock. */
export class CallerPresence {
    readonly #probe: DisconnectProbe;
    /** The connection was accepted at `acceptedAt`, and opened not before `openedAfter`. */
    readonly #acceptedAt: number;
    readonly #openedAfter: number;
    #endReadAt: number | undefined;
    #closedAt: number | undefined;
    /** True if the caller may have shut down its sending side long before that was read. */
    #isEndOld = false;
    /** The last time at which a poll of the connection was waited for; a further wait would be as long as its turn. */
    #settledAt = -Infinity;

    constructor(socket: Socket, private readonly deps: PresenceDependencies) {
        this.#probe = new DisconnectProbe(socket, deps.mayProbe);
        this.#acceptedAt = deps.clock();
        this.#openedAfter = deps.accepts.acceptedUpTo(this.#acceptedAt);
    }

    /** True once the caller has shut down its sending side. */
    get isHalfClosed(): boolean {
        return this.#endReadAt !== undefined;
    }

    /** The time at which the end of what the caller sends was read; undefined before. */
    get endReadAt(): number | undefined {
        return this.#endReadAt;
    }

    /** The time at which the connection closed; undefined before. */
    get closedAt(): number | undefined {
        return this.#closedAt;
    }

    /** Returns the longest time for which what is read now can have been unread, in milliseconds. */
    unreadMs(now: number): number {
        const readUpTo = this.deps.unread.readUpTo(now);
        return now - Math.max(this.#settledAt, readUpTo > this.#acceptedAt ? readUpTo : this.#openedAfter);
    }

    /**
     * Returns a promise that resolves when it is known whether the caller has left long ago: its leaving has been read, and
     * been told from the end of its sending side. Returns undefined if it can't have.
     */
    settle(now: number): Promise<void> | undefined {
        const mayBeOld = this.unreadMs(now) > maxFreshMs && !this.deps.isPaused();
        const pendingReads = mayBeOld ? afterRecentPoll(this.deps.clock) : undefined;
        return pendingReads === undefined && !this.#isInDoubt ? undefined : this.#waitUntilKnown(pendingReads);
    }

    /** Begins to probe: a caller that has ended its side may still read. */
    recordEnd(): void {
        const now = this.deps.clock();
        this.#endReadAt = now;
        this.#isEndOld = this.unreadMs(now) > maxFreshMs;
        this.#probe.start();
    }

    recordClose(): void {
        this.#closedAt = this.deps.clock();
        this.#probe.stop();
    }

    get #isInDoubt(): boolean {
        return this.#isEndOld && !this.#probe.isDecided;
    }

    async #waitUntilKnown(pendingReads: Promise<void> | undefined): Promise<void> {
        if (pendingReads !== undefined) {
            await pendingReads;
            this.#settledAt = this.deps.clock();
        }
        if (this.#isInDoubt) {
            await this.#probe.decided;
        }
    }
}
