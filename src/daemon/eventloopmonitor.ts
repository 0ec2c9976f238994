/**
 * Observes the event loop: for how long it is delayed, whether by the daemon's own work or because the process did not
 * run, and whether it waits for events at all.
 */
import { log } from "../log/log.js";
import type { Metrics } from "../metrics/metrics.js";
import { causedByOwnWork } from "../policy/eventloop/causedbyownwork.js";
import { eventLoopUse } from "../policy/eventloop/eventloopuse.js";
import { hardlyWaits } from "../policy/eventloop/hardlywaits.js";
import type { Clock } from "../time/clock.js";
import type { EventLoopReading } from "../time/eventloopreading.js";
import { readEventLoop } from "../time/readeventloop.js";
import { Ticker } from "../time/ticker.js";

const CHECK_INTERVAL_MS = 100;
/** Shorter delays occur on busy hosts and are only counted in the metric. */
const MIN_LOGGED_DELAY_MS = 200;
/** Shorter times without a wait occur whenever many requests arrive together. */
const USE_INTERVAL_MS = 1000;

const logger = log("daemon");

type MonitorDependencies = {
    readonly clock: Clock;
    readonly metrics: Pick<Metrics, "eventLoop">;
    readonly read?: (now: number) => EventLoopReading;
    readonly report?: (message: string, fields: object) => void;
};

/** Callbacks of timers and sockets were delayed by about as much as the monitor's timer. */
export class EventLoopMonitor {
    readonly #ticker = new Ticker(CHECK_INTERVAL_MS, () => this.check(this.deps.clock()));
    readonly #read: (now: number) => EventLoopReading;
    readonly #report: (message: string, fields: object) => void;
    #expectedAt = 0;
    #lastCheck: EventLoopReading;
    #intervalStart: EventLoopReading;

    constructor(private readonly deps: MonitorDependencies) {
        const { clock, read = readEventLoop, report = (message, fields) => logger.change(message, fields) } = deps;
        this.#read = read;
        this.#report = report;
        this.#lastCheck = this.#intervalStart = read(clock());
    }

    start(): void {
        const now = this.deps.clock();
        this.#expectedAt = now + CHECK_INTERVAL_MS;
        this.#lastCheck = this.#intervalStart = this.#read(now);
        this.#ticker.start();
    }

    stop(): void {
        this.#ticker.stop();
    }

    /** Called by the timer; `now` is the time on the daemon's clock. */
    check(now: number): void {
        const reading = this.#read(now);
        const delayMs = Math.max(0, now - this.#expectedAt);
        this.#expectedAt = now + CHECK_INTERVAL_MS;
        this.#recordDelay(delayMs, reading);
        this.#recordUse(reading);
        this.#lastCheck = reading;
    }

    #recordDelay(delayMs: number, reading: EventLoopReading): void {
        this.deps.metrics.eventLoop.recordDelay(delayMs);
        if (delayMs < MIN_LOGGED_DELAY_MS) {
            return;
        }
        const { cpuMs, turns } = eventLoopUse(this.#lastCheck, reading);
        const message = causedByOwnWork(delayMs, cpuMs)
            ? "The event loop was delayed by the daemon's own work."
            : "The event loop was delayed: the process was stopped or had no CPU time.";
        this.#report(message, { delayMs: Math.round(delayMs), cpuMs: Math.round(cpuMs), turns });
    }

    #recordUse(reading: EventLoopReading): void {
        const use = eventLoopUse(this.#intervalStart, reading);
        if (use.elapsedMs < USE_INTERVAL_MS) {
            return;
        }
        this.#intervalStart = reading;
        if (hardlyWaits(use)) {
            const { elapsedMs, waitedMs, cpuMs, turns, events } = use;
            this.#report("The event loop hardly waits for events.", {
                elapsedMs: Math.round(elapsedMs),
                waitedMs: Math.round(waitedMs),
                cpuMs: Math.round(cpuMs),
                turns,
                events,
            });
        }
    }
}
