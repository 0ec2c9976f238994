/**
 * Decides whether a request at a gate runs, is queued or is refused, and when a refused one should be retried. The gate
 * counts exactly what an ingress can only estimate. Times are milliseconds on the gate's clock.
 *
 * A request runs while a slot is free. It is queued if its turn is expected within its longest wait and before its
 * deadline. It is refused at once if it can't be served here in time, or if another upstream may serve it sooner. An
 * upstream that may be cold or that states a rate limit is sent no more requests a second than it takes (policy/rate).
 */
import type { Pace } from "../failure/pace.js";
import type { LoadReport } from "../placement/loadreport.js";
import { concurrencyAtRate } from "../rate/concurrencyatrate.js";
import type { SendRate } from "../rate/sendrate.js";
import { acceptableWaitMs } from "./acceptablewaitms.js";
import type { AdmissionDecision } from "./admissiondecision.js";
import type { FinishedRequest } from "./finishedrequest.js";
import type { LevelClock } from "./levelclock.js";
import type { QueuedRequest } from "./queuedrequest.js";
import type { Refusal } from "./refusal.js";
import type { RefusedRequest } from "./refusedrequest.js";
import type { RuleTimes } from "./ruletimes.js";
import { shouldWaitForPace } from "./shouldwaitforpace.js";
import type { SlotLimit } from "./slotlimit.js";
import { WaitEstimate } from "./waitestimate.js";
import { WaitQueue } from "./waitqueue.js";

/** Maximum number of queued requests for each slot; bounds memory. */
const MAX_QUEUED_PER_SLOT = 16;
const RUN: AdmissionDecision = { type: "run" };

/** Requests that `dequeue` removes from the queue; those in `expired` have passed their deadlines. */
type Released<Item> = { readonly run: Item[]; readonly expired: Item[]; };

/** Counts the running requests of one upstream and holds the queued ones. */
export class Admission<Item extends QueuedRequest> {
    readonly #queue = new WaitQueue<Item>();
    readonly #waitEstimate: WaitEstimate;
    #running = 0;
    #reserved = 0;

    constructor(
        private readonly limit: SlotLimit,
        private readonly times: RuleTimes,
        private readonly levelClock: LevelClock,
        private readonly pace: Pace,
        private readonly sendRate: SendRate,
    ) {
        this.#waitEstimate = new WaitEstimate(limit, times, sendRate);
    }

    get running(): number {
        return this.#running;
    }

    get queued(): number {
        return this.#queue.length;
    }

    /** Returns how many slots can be offered to other gates of the service; 0 while the request rate is bounded. */
    freeSlots(now: number): number {
        const isBounded = this.sendRate.perSecond(now) !== undefined;
        return isBounded ? 0 : Math.max(0, this.limit.current() - this.#running - this.#reserved - this.#queue.length);
    }

    /** The share of the slots above which the upstream was found to slow down, or undefined if none is known. */
    get learnedShare(): number | undefined {
        return this.limit.learnedShare;
    }

    /** Returns the load that the gate reports to ingresses. */
    report(now: number): LoadReport {
        return {
            running: this.#running + this.#reserved,
            waiting: this.#queue.length,
            limit: concurrencyAtRate(this.limit.current(), this.times.all.baselineMs, this.sendRate.perSecond(now)),
            serviceMs: this.times.all.recentMs,
            baseMs: this.times.all.baselineMs,
        };
    }

    /** Decides on a request, and queues it if it has to wait. With `hasReservedSlot` it takes a reserved slot. */
    admit(item: Item, now: number, hasReservedSlot = false): AdmissionDecision {
        if (hasReservedSlot) {
            this.releaseSlot();
        }
        this.sendRate.recordArrival(item.priority, now);
        if (now >= item.deadline) {
            return { type: "refuse", refusal: { reason: "deadline", retryAfterMs: 0 } };
        }
        const isNext = this.#queue.length === 0 && this.#waitEstimate.priorityWaitMs(item.priority, now) === 0;
        if (isNext && this.#canStart(now) && !this.#awaitsPace(item, now)) {
            this.#start(item, now);
            return RUN;
        }
        const refusal = this.#refusalFor(item, now);
        if (refusal !== undefined) {
            return { type: "refuse", refusal };
        }
        this.#queue.push(item);
        return { type: "wait" };
    }

    /** Reserves a slot for a request that will arrive; returns false if none is free. */
    reserveSlot(now: number): boolean {
        if (this.freeSlots(now) === 0) {
            return false;
        }
        this.#reserved += 1;
        return true;
    }

    /** Releases a reserved slot. */
    releaseSlot(): void {
        this.#reserved = Math.max(0, this.#reserved - 1);
    }

    /**
     * Records that a running request has finished; `serviceMs` is undefined if its time is no measure of the upstream.
     * Ignores times while the upstream states a rate limit: it is degraded and runs few requests at a time.
     */
    recordFinished(serviceMs: number | undefined, ended: FinishedRequest | undefined, now: number): void {
        this.#setRunning(this.#running - 1, now);
        if (serviceMs !== undefined && ended !== undefined && !this.sendRate.isLimited) {
            const { rule, work, pace = 1 } = ended;
            this.times.observe(rule, serviceMs, work.reduce((sum, ms) => sum + ms, 0) / pace);
            const expectedMs = this.times.meanMs(rule) * pace;
            this.limit.observe(work.map(ms => ms / expectedMs));
            this.#setRunning(this.#running, now);
        }
    }

    /** Returns true while the first queued request has a free slot but waits until the upstream works faster. */
    isWaitingForPace(now: number): boolean {
        const item = this.#queue.peek();
        return item !== undefined && this.#canStart(now) && this.#awaitsPace(item, now);
    }

    /** Returns the time at which the first queued request may be sent; undefined unless only the rate delays it. */
    nextSendAt(now: number): number | undefined {
        const isRateLimited = this.#queue.length > 0 && this.#hasFreeSlot && !this.sendRate.canSend(now);
        return isRateLimited ? this.sendRate.sendableAt(1, now) : undefined;
    }

    /** Removes a request from the queue; returns false if it is not queued. */
    remove(item: Item): boolean {
        return this.#queue.remove(item);
    }

    /** Decides again on all queued requests after the request rate has fallen; returns those that are now refused. */
    reevaluate(now: number): RefusedRequest<Item>[] {
        const refused: RefusedRequest<Item>[] = [];
        for (const item of this.#queue.removeWhere(() => true)) {
            const refusal = this.#refusalFor(item, now);
            if (refusal === undefined) {
                this.#queue.push(item);
            }
            else {
                refused.push({ item, refusal });
            }
        }
        return refused;
    }

    /** Removes up to `count` queued requests that match the predicate, so that other upstreams serve them. */
    handBack(count: number, predicate: (item: Item) => boolean): Item[] {
        let remaining = count;
        return this.#queue.removeWhere(item => remaining > 0 && predicate(item) && (remaining -= 1) >= 0);
    }

    /** Removes the requests that may run now, and the expired ones ahead of them, from the queue. */
    dequeue(now: number): Released<Item> {
        const released: Released<Item> = { run: [], expired: [] };
        for (;;) {
            const item = this.#queue.peek();
            if (item === undefined || !this.#canStart(now) || (now < item.deadline && this.#awaitsPace(item, now))) {
                break;
            }
            this.#queue.shift();
            if (now >= item.deadline) {
                released.expired.push(item);
                continue;
            }
            this.#start(item, now);
            released.run.push(item);
        }
        return released;
    }

    /** Returns in how many milliseconds a request that is refused now is likely to find a slot. */
    retryAfterMs(item: Item, now: number): number {
        return this.#waitEstimate.retryAfterMs(item.rule, this.#waitEstimate.waitMs(this.#positionOf(item), now));
    }

    get #hasFreeSlot(): boolean {
        return this.#running + this.#reserved < this.limit.current();
    }

    #canStart(now: number): boolean {
        return this.#hasFreeSlot && this.sendRate.canSend(now);
    }

    #start({ priority }: Item, now: number): void {
        this.#setRunning(this.#running + 1, now);
        this.sendRate.recordSent(priority, now);
    }

    #awaitsPace({ rule }: Item, now: number): boolean {
        const slowdown = this.pace.slowdown(now);
        return slowdown > 1
            && shouldWaitForPace({ workMs: this.times.meanMs(rule), slowdown, slowForMs: this.pace.slowForMs(now) });
    }

    /** The level is the limit in force; with free slots, the number of running requests follows from their times. */
    #setRunning(running: number, now: number): void {
        this.#running = running;
        this.levelClock.setConcurrency(Math.max(running, this.limit.current()), now);
    }

    /** Returns the position that a request would have in the queue; the first is 1. */
    #positionOf(item: Item): number {
        return this.#queue.countAhead(item) + 1;
    }

    #refusalFor(item: Item, now: number): Refusal | undefined {
        const position = this.#positionOf(item);
        const waitMs = this.#waitEstimate.waitMs(position, now);
        const retryAfterMs = this.#waitEstimate.retryAfterMs(item.rule, waitMs);
        const priorityWaitMs = this.#waitEstimate.priorityWaitMs(item.priority, now);
        if (priorityWaitMs > 0) {
            return { reason: "limited", retryAfterMs: this.#waitEstimate.retryAfterMs(item.rule, priorityWaitMs) };
        }
        const acceptableMs = acceptableWaitMs(this.times.all.baselineMs, item.nearChoices);
        if (item.choices > 0 && this.#waitEstimate.rateWaitMs(position, now) > acceptableMs) {
            return { reason: this.sendRate.reason(now), retryAfterMs };
        }
        if (this.#queue.length >= this.limit.current() * MAX_QUEUED_PER_SLOT) {
            return { reason: "queue-full", retryAfterMs };
        }
        if (waitMs > Math.min(item.maxWaitMs, item.deadline - now - this.times.meanServiceMs(item.rule))) {
            const isDueToRate = this.#waitEstimate.rateWaitMs(position, now) >= waitMs;
            return { reason: isDueToRate ? this.sendRate.reason(now) : "wait-too-long", retryAfterMs };
        }
        if (item.choices > 0 && waitMs > acceptableMs) {
            return { reason: "busy", retryAfterMs };
        }
        return undefined;
    }
}
