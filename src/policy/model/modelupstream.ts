/**
 * Simulates an upstream whose work takes longer by noise, while it is cold and while too many slots are in use. The
 * duration of work is fixed when it begins.
 */
import type { RandomSource } from "../randomsource.js";
import type { EventLoop } from "./eventloop.js";
import { lognormal } from "./lognormal.js";
import type { ModelService } from "./modelservice.js";
import type { Scenario } from "./scenario.js";

/** Has no count of its running requests; the gate keeps that. */
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

    /** Makes the upstream cold from now on. */
    restart(): void {
        this.#startedAt = this.loop.now;
    }

    /** Milliseconds until the upstream is warm; 0 if it is. */
    get coldMs(): number {
        return Math.max(0, this.#startedAt + this.scenario.cold.durationMs - this.loop.now);
    }

    /** The pace that the upstream reports, which includes noise but neither cold nor the slowdown above the knee. */
    get pace(): number {
        const { share, slowdown, intervalMs } = this.scenario.noise;
        const interval = Math.floor(this.loop.now / intervalMs);
        if (interval !== this.#noiseInterval) {
            this.#noiseInterval = interval;
            this.#pace = this.random() < share ? slowdown : 1;
        }
        return this.#pace;
    }

    /**
     * Returns how long work that begins now takes, in milliseconds; `running` counts the running requests, this one
     * included.
     */
    workMs(meanMs: number, running: number): number {
        const { knee, kneeSlowdown, slots } = this.shape;
        const { cold } = this.scenario;
        const kneeFactor = running > knee * slots ? kneeSlowdown : 1;
        const coldFactor = this.coldMs > 0 ? cold.slowdown : 1;
        return meanMs * lognormal(this.random) * this.pace * kneeFactor * coldFactor;
    }
}
