/** Knows how fast the upstream works, and asks it when its last word is too old. */
import { log } from "../log/log.js";
import { Pace } from "../policy/failure/pace.js";
import type { Clock } from "../time/clock.js";

const logger = log("gate");

/** The upstream's word is the present for so long. */
const BELIEVE_MS = 30;

/** `mayAsk` spends one question from the budget; `ask` rejects when the upstream says nothing in time. */
type PaceWatchParts = {
    readonly clock: Clock;
    readonly mayAsk: () => boolean;
    readonly ask: () => Promise<void>;
};

/** Questions at the same time share one. */
export class PaceWatch {
    readonly #pace = new Pace(BELIEVE_MS);
    #asking: Promise<boolean> | undefined;

    constructor(private readonly parts: PaceWatchParts) {}

    /** The last word; undefined of an upstream that never says. */
    get last(): number | undefined {
        return this.#pace.last;
    }

    heard(pace: number): void {
        this.#pace.observe(pace, this.parts.clock());
    }

    /** True when the upstream is slow at this moment, by a word that is fresh. */
    async isSlow(): Promise<boolean> {
        const { clock, mayAsk } = this.parts;
        const now = clock();
        if (!this.#pace.isStale(now)) {
            return this.#pace.isSlow(now);
        }
        if (this.#asking === undefined && !mayAsk()) {
            return false;
        }
        this.#asking ??= this.#ask();
        return await this.#asking;
    }

    /** Resolves with whether the answer says slow; by the time it was heard, so that a stall here ages no answer. */
    async #ask(): Promise<boolean> {
        const askedAt = this.parts.clock();
        try {
            await this.parts.ask();
            return this.#pace.isSlowSince(askedAt);
        }
        catch (err) {
            logger.trouble("The upstream said nothing of its pace.", err);
            return false;
        }
        finally {
            this.#asking = undefined;
        }
    }
}
