/** Priorities given as numbers. */
import type { Priority } from "./priority.js";

const BY_RANK: readonly Priority[] = ["urgent", "normal", "background"];

/** Rank 0 is the most urgent; all ranks past the last class are in it. */
export function priorityOfRank(rank: number): Priority {
    return BY_RANK[Math.min(rank, BY_RANK.length - 1)]!;
}
