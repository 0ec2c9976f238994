/** When may the next request be sent at an even rate? By a token for each request (the generic cell rate algorithm, ITU-T I.371). */
import type { Rate } from "./rate.js";

/** Remembered, the latest: more are never sent between a question and its answer. */
const MAX_SENT = 64;

/** Counts what was sent to one upstream; all times are milliseconds on the daemon's clock. */
export class EvenRate {
    #sent: number[] = [];
    /** When all that was sent would have been sent at the even rate. */
    #evenAt = -Infinity;

    constructor(private rate: Rate) {}

    /** Another rate from now on; what was sent above the old one is owed at the new one. */
    setRate(rate: Rate, now: number): void {
        const owed = Math.max(0, this.#evenAt - now) / this.rate.everyMs;
        this.rate = rate;
        this.#evenAt = now + owed * rate.everyMs;
    }

    /** Counts all that may be sent at once as sent: the next one follows after `everyMs`. */
    useUp(now: number): void {
        this.#evenAt = now + this.rate.burst * this.rate.everyMs;
    }

    /** Records that a request is sent. */
    record(now: number): void {
        this.#sent.push(now);
        this.#sent.splice(0, this.#sent.length - MAX_SENT);
        this.#count(now);
    }

    /** Leaves out what was sent before a time at which the rate did not hold. */
    forgetBefore(at: number): void {
        this.#sent = this.#sent.filter(sentAt => sentAt >= at);
        this.#evenAt = -Infinity;
        this.#sent.forEach(sentAt => this.#count(sentAt));
    }

    /** True when half of what may be sent at once is. */
    isLow(now: number): boolean {
        return this.opensAt(Math.ceil(this.rate.burst / 2), now) > now;
    }

    /** When so many more may be sent; not later than `now` when they may be at once. */
    opensAt(count: number, now: number): number {
        return Math.max(now, this.#evenAt) + (count - this.rate.burst) * this.rate.everyMs;
    }

    #count(sentAt: number): void {
        this.#evenAt = Math.max(this.#evenAt, sentAt) + this.rate.everyMs;
    }
}
