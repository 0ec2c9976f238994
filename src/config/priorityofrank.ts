/** Priorities given as numbers. */
import { Priority } from "./priority.js";

const PRIORITIES_BY_RANK: readonly Priority[] = Priority.options;

/** Rank 0 is the most urgent; all ranks past the last class are in it. */
export function priorityOfRank(rank: number): Priority {
    return PRIORITIES_BY_RANK[Math.min(rank, PRIORITIES_BY_RANK.length - 1)]!;
}
