/** Writes all log lines of a process to standard output with pino, at a bounded rate and without blocking. */
import { performance } from "node:perf_hooks";
import { type Logger, pino } from "pino";
import { LineBudget } from "./linebudget.js";
import type { LineKind } from "./linekind.js";
import type { LogLevel } from "./loglevel.js";
import type { LogPart } from "./logpart.js";
import { Output } from "./output.js";

/** Applies until the settings are read; equals their default. */
const DEFAULT_LINES_PER_SECOND = 500;
/** Limits how often dropped lines are reported. */
const DROPPED_REPORT_INTERVAL_MS = 1000;
/** Bounds the wait for a slow reader when the process ends; far below the time limit for stopping. */
const END_TIMEOUT_MS = 300;

/** Writes log lines within the budget and reports how many were dropped. One instance exists per process. */
class LogSink {
    readonly #output = new Output(() => this.#budget.countDropped("decision"));
    readonly #logger: Logger = pino(
        { base: null, messageKey: "message", formatters: { level: toLevel } },
        this.#output,
    );
    #budget = new LineBudget(DEFAULT_LINES_PER_SECOND, performance.now());
    #reportedDroppedAt = 0;

    /** Sets the lowest level that is written and the budget. */
    configure(level: LogLevel, linesPerSecond: number): void {
        this.#logger.level = level;
        this.#budget = new LineBudget(linesPerSecond, performance.now());
    }

    /** Writes a line if the budget allows it. */
    write(level: "info" | "warn" | "error", kind: LineKind, part: LogPart, message: string, fields: object): void {
        if (!this.#logger.isLevelEnabled(level)) {
            return;
        }
        const now = performance.now();
        if (this.#budget.spend(kind, now)) {
            this.#logger[level]({ part, ...fields }, message);
        }
        this.#reportDropped(now);
    }

    /** Flushes buffered lines when the process ends; does not wait long for a reader that has stopped reading. */
    end(): Promise<void> {
        return this.#output.end(END_TIMEOUT_MS);
    }

    #reportDropped(now: number): void {
        if (now - this.#reportedDroppedAt < DROPPED_REPORT_INTERVAL_MS) {
            return;
        }
        this.#reportedDroppedAt = now;
        const droppedCounts = this.#budget.takeDroppedCounts();
        if (droppedCounts !== undefined) {
            this.#logger.warn(
                { part: "daemon", leftOut: droppedCounts },
                "Log lines were dropped because they exceeded the budget or the output buffer.",
            );
        }
    }
}

function toLevel(label: string): object {
    return { level: label };
}

/** The log sink of this process. */
export const logSink = new LogSink();
