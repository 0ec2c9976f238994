/** Bounds how many lines of each kind are written in a second. */
import { TokenBucket } from "../policy/tokenbucket.js";
import type { LineKind } from "./linekind.js";

/** Shares of the whole; failures before successes. */
const SHARES: Readonly<Record<LineKind, number>> = { belief: 0.3, failure: 0.4, decision: 0.3 };
const KINDS = Object.keys(SHARES) as LineKind[];

/** Pure; `now` is in milliseconds. */
export class LineBudget {
    readonly #buckets: ReadonlyMap<LineKind, TokenBucket>;
    readonly #leftOut = new Map<LineKind, number>();

    constructor(linesPerSecond: number, now: number) {
        this.#buckets = new Map(KINDS.map(kind => {
            const lines = Math.max(1, linesPerSecond * SHARES[kind]);
            return [kind, new TokenBucket(lines, lines, now)];
        }));
    }

    /** False when the line must be left out; it is counted. */
    spend(kind: LineKind, now: number): boolean {
        const may = this.#buckets.get(kind)!.spend(1, now);
        if (!may) {
            this.leaveOut(kind);
        }
        return may;
    }

    /** Counts a line that was left out. */
    leaveOut(kind: LineKind): void {
        this.#leftOut.set(kind, (this.#leftOut.get(kind) ?? 0) + 1);
    }

    /** What was left out since the last call; undefined for nothing. */
    takeLeftOut(): Partial<Record<LineKind, number>> | undefined {
        if (this.#leftOut.size === 0) {
            return undefined;
        }
        const counts = Object.fromEntries(this.#leftOut);
        this.#leftOut.clear();
        return counts;
    }
}
