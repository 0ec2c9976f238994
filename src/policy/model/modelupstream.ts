/** An upstream of a model: work takes longer by noise, when it is cold and when too many slots are in use; settled when it begins. */
import type { RandomSource } from "../randomsource.js";
import type { EventLoop } from "./eventloop.js";
import { lognormal } from "./lognormal.js";
import type { ModelService } from "./modelservice.js";
import type { Scenario } from "./scenario.js";

/** Its slots are counted by its gate. */
export class ModelUpstream {
    #startedAt = -Infinity;
    #noiseInterval = -1;
    #pace = 1;

    constructor(
        private readonly shape: ModelService,
        private readonly scenario: Pick<Scenario, "noise" | "cold">,
        private readonly loop: EventLoop,
        private readonly random: RandomSource,
    ) {}

    get slots(): number {
        return this.shape.slots;
    }

    /** From now on it is cold. */
    restart(): void {
        this.#startedAt = this.loop.now;
    }

    /** For how much longer it is cold. */
    get coldMs(): number {
        return Math.max(0, this.#startedAt + this.scenario.cold.durationMs - this.loop.now);
    }

    /** As it would report it: noise, and nothing of cold or of how full it is. */
    get pace(): number {
        const { share, slowdown, intervalMs } = this.scenario.noise;
        const interval = Math.floor(this.loop.now / intervalMs);
        if (interval !== this.#noiseInterval) {
            this.#noiseInterval = interval;
            this.#pace = this.random() < share ? slowdown : 1;
        }
        return this.#pace;
    }

    /** How long work takes that begins now, as the last of so many. */
    workMs(meanMs: number, running: number): number {
        const { knee, kneeSlowdown, slots } = this.shape;
        const { cold } = this.scenario;
        const kneeFactor = running > knee * slots ? kneeSlowdown : 1;
        const coldFactor = this.coldMs > 0 ? cold.slowdown : 1;
        return meanMs * lognormal(this.random) * this.pace * kneeFactor * coldFactor;
    }
}
