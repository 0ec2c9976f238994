/**
 * Lets requests begin only once what had arrived before them has been read.
 *
 * A daemon with less processor time than its work takes reads the leaving of callers too late, if it works on each request
 * in the turn of the event loop in which it reads it: further connections wait to be accepted, and what revokes requests
 * is unread. While that may be so, requests wait here: until the sockets have been polled after each was read, and until all
 * connections that wait have been accepted. Then they begin in the order of their arrival, a few in each turn.
 */
import type { Cancellation } from "../http/cancellation.js";
import { maxFreshMs } from "../time/maxfreshms.js";
import type { AcceptMonitor } from "./acceptmonitor.js";

/** The requests that begin in a turn, between two polls of the sockets. */
const MAX_BEGUN_PER_TURN = 16;
/** The longest time for which connections are accepted while no request begins, in milliseconds. */
const MAX_ACCEPTING_MS = 50;
/** Immediates after a request has entered until the sockets have been polled: the present turn may be past its poll. */
const TURNS_TO_POLL = 2;

type Entry = { readonly turn: number; readonly begin: () => void; };

/** Owns the requests that wait to begin at one listener. */
export class Intake {
    /** In the order of their arrival. */
    readonly #waiting = new Set<Entry>();
    #turn = 0;
    #isScheduled = false;
    /** The time since which no request has begun, since connections are being accepted. */
    #acceptingSince: number | undefined;

    constructor(private readonly clock: () => number, private readonly accepts: AcceptMonitor) {}

    /** The number of requests that wait to begin. */
    get waitingCount(): number {
        return this.#waiting.size;
    }

    /**
     * Returns a promise that resolves when a request may begin that can have been unread for `unreadMs` milliseconds, or
     * when it is cancelled. Returns undefined if it may begin at once.
     */
    enter(unreadMs: number, now: number, cancel: Cancellation): Promise<void> | undefined {
        const isAcceptingOld = now - this.accepts.acceptedUpTo(now) > maxFreshMs;
        if (unreadMs <= maxFreshMs && !isAcceptingOld && this.#waiting.size === 0) {
            return undefined;
        }
        return this.#wait(cancel);
    }

    #wait(cancel: Cancellation): Promise<void> {
        return new Promise(resolve => {
            const entry = { turn: this.#turn, begin: () => finish() };
            const removeAbortListener = cancel.onAbort(() => finish());
            const finish = (): void => {
                removeAbortListener();
                this.#waiting.delete(entry);
                resolve();
            };
            this.#waiting.add(entry);
            this.#schedule();
        });
    }

    #schedule(): void {
        if (!this.#isScheduled && this.#waiting.size > 0) {
            this.#isScheduled = true;
            setImmediate(() => this.#runTurn(this.clock()));
        }
    }

    #runTurn(now: number): void {
        this.#isScheduled = false;
        this.#turn += 1;
        if (!this.#leavesTurnToAccepting(now)) {
            this.#beginSome();
        }
        this.#schedule();
    }

    #leavesTurnToAccepting(now: number): boolean {
        if (this.accepts.isAccepting) {
            this.#acceptingSince ??= now;
            if (now - this.#acceptingSince < MAX_ACCEPTING_MS) {
                return true;
            }
        }
        this.#acceptingSince = undefined;
        return false;
    }

    #beginSome(): void {
        let count = 0;
        for (const entry of this.#waiting) {
            if (count === MAX_BEGUN_PER_TURN || this.#turn - entry.turn < TURNS_TO_POLL) {
                return;
            }
            entry.begin();
            count += 1;
        }
    }
}
