/**
 * May a request run now at its upstream, wait, or not? And when should one that is refused come back?
 *
 * The gate's counts are exact, so what an ingress only guessed is decided here. A request runs while slots are free; it waits
 * when its turn is expected within the time that it may wait and before its deadline; it is refused at once when it is known
 * not to be served here, or when it could go elsewhere sooner. An upstream that is or may be cold, or states a limit, is sent no more in a
 * second than it takes (policy/rate). Times are milliseconds on the gate's clock.
 */
import type { Pace } from "../failure/pace.js";
import type { LoadReport } from "../placement/loadreport.js";
import { limitAtRate } from "../rate/limitatrate.js";
import type { SendRate } from "../rate/sendrate.js";
import type { Ended } from "./ended.js";
import { isWorthWaiting } from "./isworthwaiting.js";
import type { LevelClock } from "./levelclock.js";
import type { Refusal } from "./refusal.js";
import type { Refused } from "./refused.js";
import type { RuleTimes } from "./ruletimes.js";
import type { SlotLimit } from "./slotlimit.js";
import type { Verdict } from "./verdict.js";
import { WaitEstimate } from "./waitestimate.js";
import type { Waiting } from "./waiting.js";
import { WaitQueue } from "./waitqueue.js";

/** Requests for each slot that the queue holds at the most; bounds memory. */
const QUEUE_PER_SLOT = 16;
/**
 * A request that can go elsewhere does so when it would wait longer than this share of a usual service time: sooner
 * within the data hall than out of it.
 */
const NEAR_SHARE = 0.1;
/** The same where the request must leave the data hall. */
const FAR_SHARE = 0.2;
const RUN: Verdict = { type: "run" };

/** What `next` gives: requests that may run now, and requests whose deadline has passed. */
type Released<Item> = { readonly run: Item[]; readonly late: Item[]; };

/** Counts what runs and what waits at one upstream. */
export class Admission<Item extends Waiting> {
    readonly #queue = new WaitQueue<Item>();
    readonly #waits: WaitEstimate;
    #running = 0;
    #held = 0;

    constructor(
        private readonly limit: SlotLimit,
        private readonly times: RuleTimes,
        private readonly levels: LevelClock,
        private readonly pace: Pace,
        private readonly rate: SendRate,
    ) {
        this.#waits = new WaitEstimate(limit, times, rate);
    }

    get running(): number {
        return this.#running;
    }

    get waiting(): number {
        return this.#queue.length;
    }

    /** Slots for work of siblings: those that are neither in use nor held; none where what may be sent in a time is bounded. */
    free(now: number): number {
        const isBounded = this.rate.perSecond(now) !== undefined;
        return isBounded ? 0 : Math.max(0, this.limit.current() - this.#running - this.#held - this.#queue.length);
    }

    /** Of the slots, above which the upstream was found to slow down; undefined while none is known. */
    get learnedShare(): number | undefined {
        return this.limit.learnedShare;
    }

    /** `now` on the gate's clock. */
    report(now: number): LoadReport {
        return {
            running: this.#running + this.#held,
            waiting: this.#queue.length,
            limit: limitAtRate(this.limit.current(), this.times.all.slowMs, this.rate.perSecond(now)),
            serviceMs: this.times.all.fastMs,
            baseMs: this.times.all.slowMs,
        };
    }

    /** Decides on an arrival; one that holds an offer takes the slot held for it. A request that waits is in the queue then. */
    arrive(item: Item, now: number, holdsOffer = false): Verdict {
        if (holdsOffer) {
            this.release();
        }
        this.rate.recordArrival(item.priority, now);
        if (now >= item.deadline) {
            return { type: "refuse", refusal: { reason: "deadline", retryAfterMs: 0 } };
        }
        const isFirst = this.#queue.length === 0 && this.#waits.forClassMs(item.priority, now) === 0;
        if (isFirst && this.#mayStart(now) && !this.#waitsForPace(item, now)) {
            this.#start(item, now);
            return RUN;
        }
        const refusal = this.#refusal(item, now);
        if (refusal !== undefined) {
            return { type: "refuse", refusal };
        }
        this.#queue.push(item);
        return { type: "wait" };
    }

    /** Keeps a slot free for a while; false when none is free. */
    hold(now: number): boolean {
        if (this.free(now) === 0) {
            return false;
        }
        this.#held += 1;
        return true;
    }

    /** Gives a held slot back. */
    release(): void {
        this.#held = Math.max(0, this.#held - 1);
    }

    /**
     * Records that a running request has ended; `serviceMs` is undefined when it says nothing of the upstream. While the upstream states a
     * limit nothing is learnt from it: it runs few at once, and is in need.
     */
    finish(serviceMs: number | undefined, ended: Ended | undefined, now: number): void {
        this.#setRunning(this.#running - 1, now);
        if (serviceMs !== undefined && ended !== undefined && !this.rate.isLimited) {
            const { rule, work, pace = 1 } = ended;
            this.times.observe(rule, serviceMs, work.reduce((sum, ms) => sum + ms, 0) / pace);
            const usualMs = this.times.longMs(rule) * pace;
            this.limit.observe(work.map(ms => ms / usualMs));
        }
    }

    /** True while a slot is free for a request that waits until the upstream works faster. */
    isWaitingForPace(now: number): boolean {
        const item = this.#queue.first();
        return item !== undefined && this.#mayStart(now) && this.#waitsForPace(item, now);
    }

    /** When the first of those that wait may be sent, where it waits for no slot but for the rate; undefined where it does not. */
    opensAt(now: number): number | undefined {
        const isHeld = this.#queue.length > 0 && this.#hasSlot && !this.rate.isOpen(now);
        return isHeld ? this.rate.opensAt(1, now) : undefined;
    }

    /** Takes a waiting request out; false when it does not wait. */
    leave(item: Item): boolean {
        return this.#queue.remove(item);
    }

    /** Decides anew on all that wait, since the upstream takes less than it did; gives those that are refused now. */
    reconsider(now: number): Refused<Item>[] {
        const refused: Refused<Item>[] = [];
        for (const item of this.#queue.removeWhere(() => true)) {
            const refusal = this.#refusal(item, now);
            if (refusal === undefined) {
                this.#queue.push(item);
            }
            else {
                refused.push({ item, refusal });
            }
        }
        return refused;
    }

    /** Takes out up to `count` waiting requests that the test allows, to be served elsewhere. */
    handBack(count: number, test: (item: Item) => boolean): Item[] {
        let left = count;
        return this.#queue.removeWhere(item => left > 0 && test(item) && (left -= 1) >= 0);
    }

    /** Releases what may run now; what has waited past its deadline comes out as late. */
    next(now: number): Released<Item> {
        const released: Released<Item> = { run: [], late: [] };
        for (;;) {
            const item = this.#queue.first();
            if (item === undefined || !this.#mayStart(now) || (now < item.deadline && this.#waitsForPace(item, now))) {
                break;
            }
            this.#queue.shift();
            if (now >= item.deadline) {
                released.late.push(item);
                continue;
            }
            this.#start(item, now);
            released.run.push(item);
        }
        return released;
    }

    /** When a request that is refused now is likely to find a slot, in milliseconds. */
    retryAfterMs(item: Item, now: number): number {
        return this.#waits.comeBackMs(item.rule, this.#waits.waitMs(this.#placeOf(item), now));
    }

    get #hasSlot(): boolean {
        return this.#running + this.#held < this.limit.current();
    }

    #mayStart(now: number): boolean {
        return this.#hasSlot && this.rate.isOpen(now);
    }

    #start({ priority }: Item, now: number): void {
        this.#setRunning(this.#running + 1, now);
        this.rate.recordSent(priority, now);
    }

    #waitsForPace({ rule }: Item, now: number): boolean {
        const slowdown = this.pace.slowdown(now);
        return slowdown > 1
            && isWorthWaiting({ workMs: this.times.longMs(rule), slowdown, spellMs: this.pace.spellMs(now) });
    }

    #setRunning(running: number, now: number): void {
        this.#running = running;
        this.levels.setRunning(running, now);
    }

    /** The turn that an arrival has, by what is ahead of it: the first is 1. */
    #placeOf(item: Item): number {
        return this.#queue.ahead(item) + 1;
    }

    #refusal(item: Item, now: number): Refusal | undefined {
        const place = this.#placeOf(item);
        const waitMs = this.#waits.waitMs(place, now);
        const retryAfterMs = this.#waits.comeBackMs(item.rule, waitMs);
        const classMs = this.#waits.forClassMs(item.priority, now);
        if (classMs > 0) {
            return { reason: "limited", retryAfterMs: this.#waits.comeBackMs(item.rule, classMs) };
        }
        const worthWaitingMs = this.times.all.slowMs * (item.nearChoices > 0 ? NEAR_SHARE : FAR_SHARE);
        if (item.choices > 0 && this.#waits.forRateMs(place, now) > worthWaitingMs) {
            return { reason: this.rate.reason(now), retryAfterMs };
        }
        if (this.#queue.length >= this.limit.current() * QUEUE_PER_SLOT) {
            return { reason: "queue-full", retryAfterMs };
        }
        if (waitMs > Math.min(item.maxWaitMs, item.deadline - now - this.times.usualMs(item.rule))) {
            return { reason: "wait-too-long", retryAfterMs };
        }
        if (item.choices > 0 && waitMs > worthWaitingMs) {
            return { reason: "busy", retryAfterMs };
        }
        return undefined;
    }
}
