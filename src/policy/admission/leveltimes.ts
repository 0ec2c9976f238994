/** How long work takes at each number of requests that run at once. */

/** Of the newest answer in a level's mean; chosen, not measured. */
const WEIGHT = 0.05;
/** Fewer answers say nothing of a level: as many as the weight remembers. */
const MIN_SAMPLES = 20;

type Level = { count: number; mean: number; };

/** Times are relative to what is usual for the request, so that the mix of requests does not show. */
export class LevelTimes {
    readonly #levels: Level[];

    constructor(slots: number) {
        this.#levels = Array.from({ length: slots + 1 }, () => ({ count: 0, mean: 0 }));
    }

    observe(running: number, relativeTime: number): void {
        const level = this.#levels[Math.min(running, this.#levels.length - 1)]!;
        level.count += 1;
        level.mean += Math.max(WEIGHT, 1 / level.count) * (relativeTime - level.mean);
    }

    /** Requests that end in a usual service time with so many at once; undefined when that is not known. */
    rate(running: number): number | undefined {
        const { count, mean } = this.#levels[running]!;
        return count < MIN_SAMPLES || mean <= 0 ? undefined : running / mean;
    }
}
