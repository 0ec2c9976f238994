/** Asks the local upstream for its health: only this daemon does, under a hard budget. */
import type { Gate } from "../gate/gate.js";
import { log } from "../log/log.js";
import type { Metrics } from "../metrics/metrics.js";
import { Ticker } from "../time/ticker.js";

const logger = log("health");

/** Milliseconds. */
const MS_PER_SECOND = 1000;
/** Half of the time between two questions at the default of one a second, in milliseconds. */
const TIMEOUT_MS = 500;
/** Of a question and its answer, about. */
const BYTES = 200;

/** `perSecond` is the budget of questions. */
type HealthOptions = { readonly perSecond: number; };

/** Acts on a report that the upstream leaves, or is back, and on nothing else in its answer. */
export class HealthCheck {
    readonly #ticker: Ticker | undefined;

    constructor(
        { perSecond }: HealthOptions,
        private readonly gates: () => Iterable<Gate>,
        private readonly metrics: Metrics,
    ) {
        this.#ticker = perSecond === 0 ? undefined : new Ticker(MS_PER_SECOND / perSecond, () => void this.#askAll());
    }

    start(): void {
        this.#ticker?.start();
    }

    stop(): void {
        this.#ticker?.stop();
    }

    async #askAll(): Promise<void> {
        for (const gate of this.gates()) {
            await this.#ask(gate);
        }
    }

    async #ask(gate: Gate): Promise<void> {
        try {
            await gate.askHealth(TIMEOUT_MS);
            this.metrics.spent("health", BYTES);
        }
        catch (err) {
            logger.warn("The upstream said nothing of its health.", err, { upstream: gate.upstream.name });
        }
    }
}
