/** Checks the health of the upstreams beside this daemon, under a fixed budget. No other daemon checks them. */
import type { Gate } from "../gate/gate.js";
import { log } from "../log/log.js";
import type { Metrics } from "../metrics/metrics.js";
import { Ticker } from "../time/ticker.js";

const logger = log("health");

const MS_PER_SECOND = 1000;
/** Half of the interval at the default rate of one check a second. */
const HEALTH_CHECK_TIMEOUT_MS = 500;
/** Approximate size of a check and its response. */
const HEALTH_CHECK_BYTES = 200;

/** `perSecond`: checks a second; 0 disables them. */
type HealthOptions = { readonly perSecond: number; };

/**
 * Checks the health of the local upstreams. Neither a failed check nor the status of a response closes a gate: only the
 * report that the upstream is leaving does.
 */
export class HealthCheck {
    readonly #ticker: Ticker | undefined;

    constructor(
        { perSecond }: HealthOptions,
        private readonly gates: () => Iterable<Gate>,
        private readonly metrics: Metrics,
    ) {
        this.#ticker = perSecond === 0 ? undefined : new Ticker(MS_PER_SECOND / perSecond, () => void this.#checkAll());
    }

    start(): void {
        this.#ticker?.start();
    }

    stop(): void {
        this.#ticker?.stop();
    }

    async #checkAll(): Promise<void> {
        for (const gate of this.gates()) {
            await this.#check(gate);
        }
    }

    async #check(gate: Gate): Promise<void> {
        try {
            await gate.checkHealth(HEALTH_CHECK_TIMEOUT_MS);
            this.metrics.countControlTraffic("health", HEALTH_CHECK_BYTES);
        }
        catch (err) {
            logger.warn("The upstream did not respond to a health check.", err, { upstream: gate.upstream.name });
        }
    }
}
