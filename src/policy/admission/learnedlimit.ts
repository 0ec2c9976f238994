/**
 * How many requests may run at once? Ramps up from a cold start, and learns whether the upstream does more work when its last slots stay free.
 *
 * Many upstreams slow down when they are nearly full, and then fewer at once get more done. One that only looks slow
 * by chance must not be strangled: the limit falls only for a clear gain, never below two thirds, and is tried higher
 * again and again.
 *
 * Measured: docs/EXPERIMENTS.md, "the limit learns against a long mean", "the limit takes the fewest at once" (taken back).
 */
import { LevelTimes } from "./leveltimes.js";
import { RampLimit } from "./ramplimit.js";
import { SlotLimit } from "./slotlimit.js";

/** Of the slots: the limit never falls below; chosen, not measured. */
const LEAST_SHARE = 2 / 3;
/** Fewer at once must get so many times as much done, to be worth it: above the noise of the levels' means. */
const CLEAR_GAIN = 1.08;
/** Answers between two decisions: two for each level that is compared, about; chosen, not measured. */
const DECIDE_EVERY = 40;
/** Every so many decisions one more is tried, for one decision's time. */
const EXPLORE_EVERY = 5;

/** Told of each answer, with how many ran and the time relative to what is usual for the request. */
export class LearnedLimit extends SlotLimit {
    readonly #ramp: RampLimit;
    readonly #levels: LevelTimes;
    readonly #least: number;
    #best: number;
    #answers = 0;

    constructor(private readonly slots: number) {
        super();
        this.#ramp = new RampLimit(slots);
        this.#levels = new LevelTimes(slots);
        this.#least = Math.max(1, Math.ceil(slots * LEAST_SHARE));
        this.#best = slots;
    }

    current(): number {
        const exploring = Math.floor(this.#answers / DECIDE_EVERY) % EXPLORE_EVERY === EXPLORE_EVERY - 1;
        return Math.min(this.#ramp.current(), this.slots, this.#best + (exploring ? 1 : 0));
    }

    observe(running: number, relativeTime: number): void {
        this.#ramp.observe();
        this.#levels.observe(running, relativeTime);
        this.#answers += 1;
        if (this.#answers % DECIDE_EVERY === 0) {
            this.#best = this.#decide();
        }
    }

    /** The highest level that no lower one clearly beats. */
    #decide(): number {
        let best = this.slots;
        let bestRate = this.#levels.rate(best) ?? 0;
        for (let level = this.slots - 1; level >= this.#least; level--) {
            const rate = this.#levels.rate(level) ?? 0;
            const known = bestRate > 0;
            if (known && rate > bestRate * CLEAR_GAIN) {
                best = level;
                bestRate = rate;
            }
            else if (!known && rate > 0) {
                bestRate = rate;
            }
        }
        return best;
    }
}
