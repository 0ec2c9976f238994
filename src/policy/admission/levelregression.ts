/**
 * Estimates how many times as long work takes above a concurrency level as up to it.
 *
 * For each level, fits the logarithm of each response's time by least squares to the share of that time spent at or
 * below the level. A response during which the level changed thus counts too, and a few that took long by chance don't
 * dominate the result.
 */

/** Approximate number of remembered responses: about ten seconds of a busy upstream. */
const REMEMBERED_RESPONSES = 500;
/** Shorter times are below the resolution of the clock. */
const MIN_RELATIVE_TIME = 0.001;
/** Smaller sums of squares are rounding errors. */
const MIN_VARIATION = 1e-9;

/**
 * `slowdown` is the ratio of work times above the level to those up to it; `fStatistic` is the squared number of
 * standard errors of the difference.
 */
type Split = { readonly slowdown: number; readonly fStatistic: number; };

/**
 * Sums over responses: the share of their time up to a level, its square, and its product with the logarithm of the
 * time.
 */
type Sums = { share: number; square: number; product: number; };

/** Keeps exponentially decaying sums: older responses weigh less with each newer one. */
export class LevelRegression {
    readonly #sumsByLevel: Sums[];
    /** Number of responses by level; a response counts at each level by the share of its time there. */
    readonly #responsesByLevel: Float64Array;
    #responseCount = 0;
    #logSum = 0;
    #logSquareSum = 0;

    constructor(private readonly levels: number) {
        this.#sumsByLevel = Array.from({ length: levels + 1 }, () => ({ share: 0, square: 0, product: 0 }));
        this.#responsesByLevel = new Float64Array(levels + 1);
    }

    /** Records a response by the time that its work took at each level, relative to what is usual for such work. */
    observe(times: Float64Array): void {
        const total = Math.max(MIN_RELATIVE_TIME, times.reduce((sum, time) => sum + time, 0));
        const log = Math.log(total);
        const decay = 1 - 1 / REMEMBERED_RESPONSES;
        this.#responseCount = this.#responseCount * decay + 1;
        this.#logSum = this.#logSum * decay + log;
        this.#logSquareSum = this.#logSquareSum * decay + log * log;
        let timeUpToLevel = 0;
        this.#sumsByLevel.forEach((sums, level) => {
            timeUpToLevel += times[level]!;
            const share = timeUpToLevel / total;
            sums.share = sums.share * decay + share;
            sums.square = sums.square * decay + share * share;
            sums.product = sums.product * decay + share * log;
            this.#responsesByLevel[level] = this.#responsesByLevel[level]! * decay + times[level]! / total;
        });
    }

    /**
     * Returns the number of responses at the levels from `from` to `to`; a response counts by the share of its time
     * there.
     */
    responses(from: number, to: number): number {
        let sum = 0;
        for (let level = from; level <= Math.min(to, this.levels); level++) {
            sum += this.#responsesByLevel[level]!;
        }
        return sum;
    }

    /** Compares work above the level with work up to it. */
    splitAt(level: number): Split {
        const { share, square, product } = this.#sumsByLevel[level]!;
        const shareVariation = square - share * share / this.#responseCount;
        const logVariation = this.#logSquareSum - this.#logSum * this.#logSum / this.#responseCount;
        const covariation = product - share * this.#logSum / this.#responseCount;
        if (shareVariation < MIN_VARIATION) {
            return { slowdown: 1, fStatistic: 0 };
        }
        const explained = covariation * covariation / shareVariation;
        const unexplained = Math.max(MIN_VARIATION, logVariation - explained);
        const fStatistic = explained / (unexplained / Math.max(1, this.#responseCount - 2));
        return { slowdown: Math.exp(-covariation / shareVariation), fStatistic };
    }
}
