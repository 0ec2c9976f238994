/** Limits the log lines of each kind that are written per second. */
import { TokenBucket } from "../policy/tokenbucket.js";
import type { LineKind } from "./linekind.js";

/** Each kind's share of the total; failures have the largest, since they matter more than successes. */
const BUDGET_SHARES: Readonly<Record<LineKind, number>> = { belief: 0.3, failure: 0.4, decision: 0.3 };
const KINDS = Object.keys(BUDGET_SHARES) as LineKind[];

/** Counts the lines that exceed the budget. Reads no clock: the caller passes `now`, in milliseconds. */
export class LineBudget {
    readonly #buckets: ReadonlyMap<LineKind, TokenBucket>;
    readonly #droppedCounts = new Map<LineKind, number>();

    constructor(linesPerSecond: number, now: number) {
        this.#buckets = new Map(KINDS.map(kind => {
            const lines = Math.max(1, linesPerSecond * BUDGET_SHARES[kind]);
            return [kind, new TokenBucket(lines, lines, now)];
        }));
    }

    /** Returns true if a line may be written; otherwise counts it as dropped and returns false. */
    spend(kind: LineKind, now: number): boolean {
        const isAllowed = this.#buckets.get(kind)!.spend(1, now);
        if (!isAllowed) {
            this.countDropped(kind);
        }
        return isAllowed;
    }

    /** Counts a dropped line. */
    countDropped(kind: LineKind): void {
        this.#droppedCounts.set(kind, (this.#droppedCounts.get(kind) ?? 0) + 1);
    }

    /** Returns the number of lines of each kind that were dropped since the last call, or undefined if none were. */
    takeDroppedCounts(): Partial<Record<LineKind, number>> | undefined {
        if (this.#droppedCounts.size === 0) {
            return undefined;
        }
        const counts = Object.fromEntries(this.#droppedCounts);
        this.#droppedCounts.clear();
        return counts;
    }
}
