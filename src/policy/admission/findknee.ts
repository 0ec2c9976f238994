/**
 * Finds the knee of an upstream: the concurrency level above which its service times rise.
 *
 * Splits the levels in two where the split explains most of the variance of the times (a regression tree with one
 * split, Breiman et al. 1984). The split is a knee only if work at the lower levels is clearly faster, by so much that
 * fewer requests at a time give a higher throughput.
 */
import type { LevelRegression } from "./levelregression.js";
import { minLimit } from "./minlimit.js";

/** Minimum number of responses on each side of a split. */
const MIN_RESPONSES_PER_SIDE = 6;
/** Minimum number of responses at the level itself, so that a level that was never run is not taken for a knee. */
const MIN_RESPONSES_AT_LEVEL = 2;
/** Minimum F statistic of a split: three standard errors, because several splits are compared. */
const MIN_F_STATISTIC = 9;
/** Minimum ratio of the throughput at the knee to the throughput with all slots. */
const MIN_GAIN = 1.06;

/**
 * `level` is the highest level without a slowdown; `gain` is the ratio of the throughput there to the throughput with
 * all slots.
 */
type Knee = { readonly level: number; readonly gain: number; };

/** Returns the knee, or undefined if no level is clearly better than all slots. */
export function findKnee(regression: LevelRegression, levels: number): Knee | undefined {
    let best: Knee | undefined;
    let highestFStatistic = 0;
    for (let level = levels - 1; level >= minLimit(levels); level--) {
        const hasEnoughResponses = regression.responses(level, level) >= MIN_RESPONSES_AT_LEVEL
            && regression.responses(0, level) >= MIN_RESPONSES_PER_SIDE
            && regression.responses(level + 1, levels) >= MIN_RESPONSES_PER_SIDE;
        if (!hasEnoughResponses) {
            continue;
        }
        const { slowdown, fStatistic } = regression.splitAt(level);
        if (slowdown > 1 && fStatistic > highestFStatistic) {
            highestFStatistic = fStatistic;
            const gain = level / levels * slowdown;
            best = fStatistic > MIN_F_STATISTIC && gain > MIN_GAIN ? { level, gain } : undefined;
        }
    }
    return best;
}
