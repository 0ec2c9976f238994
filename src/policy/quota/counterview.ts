/** What a daemon knows of another one that may be a counter: its process, its clock, and whether it answers. */
import type { Incarnation } from "../../ids/incarnation.js";
import { driftMargin } from "./driftmargin.js";

/** Single datagrams are lost, and a counter may be busy; after this many unanswered ones in a row the counter is suspected. */
const MAX_UNANSWERED = 3;

/** Times are milliseconds on the daemon's clock. */
export class CounterView {
    #incarnation: Incarnation | undefined;
    #incarnationSince = -Infinity;
    #time = 0;
    #heardAt = -Infinity;
    #unanswered = 0;
    #startedAfter = -Infinity;

    /** The process that answered last; undefined if none has. */
    get incarnation(): Incarnation | undefined {
        return this.#incarnation;
    }

    /** A time after which the process that answered last was started; -Infinity if none has answered. */
    get startedAfter(): number {
        return this.#startedAfter;
    }

    get isSuspected(): boolean {
        return this.#unanswered >= MAX_UNANSWERED;
    }

    /**
     * Records an answer, to a request sent at `askedAt`, that the counter sent at `time` on its clock. Returns false for
     * a late answer of a process that has ended since: only an answer to a request that was sent after the present
     * process was heard of can come from a newer one.
     */
    recordAnswer(incarnation: Incarnation, time: number, askedAt: number, now: number): boolean {
        if (incarnation !== this.#incarnation) {
            if (askedAt < this.#incarnationSince) {
                return false;
            }
            this.#incarnation = incarnation;
            this.#incarnationSince = now;
            this.#time = time;
            this.#heardAt = now;
            this.#startedAfter = askedAt - time * (1 + driftMargin);
        }
        else if (time > this.estimate(now)) {
            this.#time = time;
            this.#heardAt = now;
        }
        this.#unanswered = 0;
        return true;
    }

    /** Records an answer without a clock. */
    recordAlive(): void {
        this.#unanswered = 0;
    }

    recordUnanswered(): void {
        this.#unanswered += 1;
    }

    /** Returns a time that the counter's clock has passed; -Infinity if it has never answered. */
    estimate(now: number): number {
        return this.#incarnation === undefined
            ? -Infinity
            : this.#time + Math.max(0, now - this.#heardAt) * (1 - driftMargin);
    }
}
