/** Bounds how many lines of each kind are written in a second. */
import { TokenBucket } from "../policy/tokenbucket.js";
import type { LineKind } from "./linekind.js";

/** Shares of the whole; failures before successes. */
const BUDGET_SHARES: Readonly<Record<LineKind, number>> = { belief: 0.3, failure: 0.4, decision: 0.3 };
const KINDS = Object.keys(BUDGET_SHARES) as LineKind[];

/** Pure; `now` is in milliseconds. */
export class LineBudget {
    readonly #buckets: ReadonlyMap<LineKind, TokenBucket>;
    readonly #droppedCounts = new Map<LineKind, number>();

    constructor(linesPerSecond: number, now: number) {
        this.#buckets = new Map(KINDS.map(kind => {
            const lines = Math.max(1, linesPerSecond * BUDGET_SHARES[kind]);
            return [kind, new TokenBucket(lines, lines, now)];
        }));
    }

    /** False when the line must be left out; it is counted. */
    spend(kind: LineKind, now: number): boolean {
        const isAllowed = this.#buckets.get(kind)!.spend(1, now);
        if (!isAllowed) {
            this.countDropped(kind);
        }
        return isAllowed;
    }

    /** Counts a line that was left out. */
    countDropped(kind: LineKind): void {
        this.#droppedCounts.set(kind, (this.#droppedCounts.get(kind) ?? 0) + 1);
    }

    /** What was left out since the last call; undefined for nothing. */
    takeDroppedCounts(): Partial<Record<LineKind, number>> | undefined {
        if (this.#droppedCounts.size === 0) {
            return undefined;
        }
        const counts = Object.fromEntries(this.#droppedCounts);
        this.#droppedCounts.clear();
        return counts;
    }
}
