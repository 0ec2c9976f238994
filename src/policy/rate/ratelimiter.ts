/** Decides when requests may be sent at an even rate, by the generic cell rate algorithm (ITU-T I.371). */
import type { Rate } from "./rate.js";

/** Number of send times kept; more requests are never sent between a probe and its response. */
const MAX_SENT_TIMES = 64;

/** Counts the requests sent to one upstream. Times are milliseconds on the daemon's clock. */
export class RateLimiter {
    #sentTimes: number[] = [];
    /** The time by which all requests sent so far would have been sent at the even rate. */
    #theoreticalSendAt = -Infinity;

    constructor(private rate: Rate) {}

    /** Changes the rate; requests sent in excess of the old rate are made up for at the new one. */
    setRate(rate: Rate, now: number): void {
        const excess = Math.max(0, this.#theoreticalSendAt - now) / this.rate.intervalMs;
        this.rate = rate;
        this.#theoreticalSendAt = now + excess * rate.intervalMs;
    }

    /** Counts the whole burst as sent, so that the next request may be sent after `intervalMs`. */
    exhaustBurst(now: number): void {
        this.#theoreticalSendAt = now + this.rate.burst * this.rate.intervalMs;
    }

    /** Records that a request is sent. */
    recordSent(now: number): void {
        this.#sentTimes.push(now);
        this.#sentTimes.splice(0, this.#sentTimes.length - MAX_SENT_TIMES);
        this.#advance(now);
    }

    /** Discards the requests sent before `time`, because the rate did not apply to them. */
    discardBefore(time: number): void {
        this.#sentTimes = this.#sentTimes.filter(sentAt => sentAt >= time);
        this.#theoreticalSendAt = -Infinity;
        this.#sentTimes.forEach(sentAt => this.#advance(sentAt));
    }

    /** Returns true if more than half of the burst is used. */
    isMoreThanHalfUsed(now: number): boolean {
        return this.sendableAt(Math.ceil(this.rate.burst / 2), now) > now;
    }

    /** Returns when `count` more requests may be sent; not later than `now` if they may be sent at once. */
    sendableAt(count: number, now: number): number {
        return Math.max(now, this.#theoreticalSendAt) + (count - this.rate.burst) * this.rate.intervalMs;
    }

    #advance(sentAt: number): void {
        this.#theoreticalSendAt = Math.max(this.#theoreticalSendAt, sentAt) + this.rate.intervalMs;
    }
}
