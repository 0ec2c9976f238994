/** Measures for how long the event loop is delayed, as by a stopped process, a suspended host or lack of CPU time. */
import { log } from "../log/log.js";
import type { Metrics } from "../metrics/metrics.js";
import type { Clock } from "../time/clock.js";
import { Ticker } from "../time/ticker.js";

const CHECK_INTERVAL_MS = 100;
/** Shorter delays occur on busy hosts and are only counted in the metric. */
const MIN_LOGGED_DELAY_MS = 200;

const logger = log("daemon");

/** Records how late its timer is: callbacks of timers and sockets were delayed by about as much. */
export class EventLoopMonitor {
    readonly #ticker = new Ticker(CHECK_INTERVAL_MS, () => this.#check());
    #expectedAt = 0;

    constructor(private readonly clock: Clock, private readonly metrics: Metrics) {}

    start(): void {
        this.#expectedAt = this.clock() + CHECK_INTERVAL_MS;
        this.#ticker.start();
    }

    stop(): void {
        this.#ticker.stop();
    }

    #check(): void {
        const now = this.clock();
        const delayMs = Math.max(0, now - this.#expectedAt);
        this.#expectedAt = now + CHECK_INTERVAL_MS;
        this.metrics.recordEventLoopDelay(delayMs);
        if (delayMs >= MIN_LOGGED_DELAY_MS) {
            logger.change("The event loop was delayed: the process was stopped or had no CPU time.", {
                delayMs: Math.round(delayMs),
            });
        }
    }
}
