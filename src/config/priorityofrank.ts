/** Converts numeric priorities to priority classes. */
import { Priority } from "./priority.js";

const PRIORITIES_BY_RANK: readonly Priority[] = Priority.options;

/** Returns the class of a rank: 0 is the most urgent class, and ranks beyond the last class belong to it. */
export function priorityOfRank(rank: number): Priority {
    return PRIORITIES_BY_RANK[Math.min(rank, PRIORITIES_BY_RANK.length - 1)]!;
}
