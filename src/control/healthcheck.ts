/** Asks the local upstream how it is: the only daemon that does, and under a hard budget. */
import type { Gate } from "../gate/gate.js";
import type { ServiceName } from "../ids/servicename.js";
import { log } from "../log/log.js";
import type { Metrics } from "../metrics/metrics.js";

const logger = log("health");

const TIMEOUT_MS = 500;
const BYTES = 200;

/** `perSecond` is the budget of questions; `path` is the endpoint of a service's upstreams. */
type HealthOptions = { readonly path: (service: ServiceName) => string; readonly perSecond: number; };

/** Believes an upstream that says it leaves, and one that says it is back; nothing else it says is believed. */
export class HealthCheck {
    #timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly options: HealthOptions,
        private readonly gates: () => Iterable<Gate>,
        private readonly metrics: Metrics,
    ) {}

    start(): void {
        if (this.options.perSecond > 0) {
            this.#timer = setInterval(() => void this.#askAll(), 1000 / this.options.perSecond);
        }
    }

    stop(): void {
        clearInterval(this.#timer);
    }

    async #askAll(): Promise<void> {
        for (const gate of this.gates()) {
            await this.#ask(gate);
        }
    }

    async #ask(gate: Gate): Promise<void> {
        try {
            await gate.ask(this.options.path(gate.upstream.service), TIMEOUT_MS);
            this.metrics.spent("health", BYTES);
        }
        catch (err) {
            logger.trouble("The upstream said nothing of its health.", err, { upstream: gate.upstream.name });
        }
    }
}
