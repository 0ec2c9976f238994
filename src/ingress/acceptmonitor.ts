/**
 * Bounds the time for which new connections can have waited to be accepted.
 *
 * Node accepts one connection in a turn of the event loop. The queue of new connections is known to be empty after a poll
 * that accepted none.
 */
import type { UnreadMonitor } from "../time/unreadmonitor.js";

/** Observes one listener, which reports each connection that it accepts. */
export class AcceptMonitor {
    /** Set while connections may wait: all that had arrived before this time have been accepted. */
    #acceptedUpTo: number | undefined;
    #hasAccepted = false;

    constructor(private readonly unread: UnreadMonitor) {}

    /** True if further connections may wait to be accepted. */
    get isAccepting(): boolean {
        return this.#acceptedUpTo !== undefined;
    }

    /** Returns a time in milliseconds, at most `now`; all connections that had arrived before it have been accepted. */
    acceptedUpTo(now: number): number {
        return this.#acceptedUpTo ?? this.unread.readUpTo(now);
    }

    recordAccepted(now: number): void {
        this.#hasAccepted = true;
        if (this.#acceptedUpTo === undefined) {
            this.#acceptedUpTo = this.unread.readUpTo(now);
            this.#checkAfterPoll();
        }
    }

    #checkAfterPoll(): void {
        setImmediate(() => {
            if (!this.#hasAccepted) {
                this.#acceptedUpTo = undefined;
                return;
            }
            this.#hasAccepted = false;
            this.#checkAfterPoll();
        });
    }
}
