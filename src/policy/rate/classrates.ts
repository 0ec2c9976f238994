/**
 * Which classes get the requests a second that an upstream in need takes?
 *
 * The more urgent first: a class gets what those above it leave, by how many of theirs have arrived lately, and a small share in any case,
 * so that none starves. At such a rate few wait, so a queue alone would give each class as much as it sends. Times are milliseconds
 * on the daemon's clock.
 */
import type { Priority } from "../../config/priority.js";
import { RollingCount } from "../rollingcount.js";
import { EvenRate } from "./evenrate.js";
import { rateOf } from "./rateof.js";

/** Milliseconds. */
const MS_PER_SECOND = 1000;
/** Over which arrivals are counted; long enough for some at a few requests a second. */
const WINDOW_MS = 2000;
/** Of the requests a second, that a class gets in any case. */
const LEAST_SHARE = 0.1;
/** Most urgent first. */
const ORDER: readonly Priority[] = ["urgent", "normal", "background"];

/** Of one upstream. */
export class ClassRates {
    readonly #arrivals = new Map(ORDER.map(priority => [priority, new RollingCount(WINDOW_MS)]));
    readonly #rates = new Map<Priority, EvenRate>();

    /** Records that a request has come to the gate, whatever becomes of it. */
    recordArrival(priority: Priority, now: number): void {
        this.#arrivals.get(priority)!.add(now);
    }

    /** Records that a request is sent while the upstream takes so many a second. */
    recordSent(priority: Priority, perSecond: number, now: number): void {
        this.#rateOf(priority, perSecond, now)?.record(now);
    }

    /** When the next request of a class may be sent while the upstream takes so many a second. */
    opensAt(priority: Priority, perSecond: number, now: number): number {
        return this.#rateOf(priority, perSecond, now)?.opensAt(1, now) ?? now;
    }

    /** The most urgent class may have all. */
    #rateOf(priority: Priority, perSecond: number, now: number): EvenRate | undefined {
        const above = ORDER.slice(0, ORDER.indexOf(priority));
        if (above.length === 0) {
            return undefined;
        }
        const arrived = above.reduce((sum, name) => sum + this.#arrivals.get(name)!.atLeast(now), 0);
        const rate = rateOf(Math.max(perSecond * LEAST_SHARE, perSecond - arrived * MS_PER_SECOND / WINDOW_MS));
        const known = this.#rates.get(priority);
        if (known === undefined) {
            const first = new EvenRate(rate);
            this.#rates.set(priority, first);
            return first;
        }
        known.setRate(rate, now);
        return known;
    }
}
