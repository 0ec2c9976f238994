/**
 * Decides the order in which queued requests run.
 *
 * Priorities share the turns by weight, so that urgent requests mostly go first and no priority starves. The teams of a
 * priority share its turns evenly. Among one team's requests of a priority, the one with the earliest deadline goes
 * first.
 */
import type { Priority } from "../../config/priority.js";
import type { TeamName } from "../../ids/teamname.js";
import { FairQueue } from "./fairqueue.js";
import type { QueuedRequest } from "./queuedrequest.js";

/** Weights of the priorities, most urgent first: each gets eight turns for one of the next. */
const WEIGHTS: Readonly<Record<Priority, number>> = { urgent: 64, normal: 8, background: 1 };
const PRIORITIES = Object.keys(WEIGHTS) as Priority[];

const hasEarlierDeadline = (a: QueuedRequest, b: QueuedRequest): boolean => a.deadline < b.deadline;

/** Holds the queued requests of one upstream. */
export class WaitQueue<Item extends QueuedRequest> {
    readonly #priorityQueue = new FairQueue<Priority, Priority>(priority => WEIGHTS[priority]);
    readonly #teamQueues = new Map<Priority, FairQueue<TeamName, Item>>(
        PRIORITIES.map(priority => [priority, new FairQueue<TeamName, Item>(() => 1, hasEarlierDeadline)]),
    );

    get length(): number {
        return this.#priorityQueue.length;
    }

    /** Returns the number of requests ahead of a new one: more urgent ones, and equally urgent ones not due later. */
    countAhead(item: Item): number {
        const moreUrgent = PRIORITIES.slice(0, PRIORITIES.indexOf(item.priority));
        const moreUrgentCount = moreUrgent.reduce((sum, priority) => sum + this.#priorityQueue.countOf(priority), 0);
        const samePriority = this.#teamQueues.get(item.priority)!.items();
        return moreUrgentCount + samePriority.filter(other => !hasEarlierDeadline(item, other)).length;
    }

    push(item: Item): void {
        this.#priorityQueue.push(item.priority, item.priority);
        this.#teamQueues.get(item.priority)!.push(item.team, item);
    }

    /** Returns the request that `shift` would remove next, or undefined if the queue is empty. */
    peek(): Item | undefined {
        const priority = this.#priorityQueue.peek();
        return priority === undefined ? undefined : this.#teamQueues.get(priority)!.peek();
    }

    shift(): Item | undefined {
        const priority = this.#priorityQueue.shift();
        return priority === undefined ? undefined : this.#teamQueues.get(priority)!.shift();
    }

    remove(item: Item): boolean {
        if (!this.#teamQueues.get(item.priority)!.remove(item.team, item)) {
            return false;
        }
        return this.#priorityQueue.remove(item.priority, item.priority);
    }

    /** Removes and returns the requests that match the predicate. */
    removeWhere(predicate: (item: Item) => boolean): Item[] {
        const removed = [...this.#teamQueues.values()].flatMap(queue => queue.items()).filter(predicate);
        removed.forEach(item => this.remove(item));
        return removed;
    }
}
