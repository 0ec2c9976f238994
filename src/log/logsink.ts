/** Where all log lines of a process go: standard output, by pino, bounded and never waited for. */
import { performance } from "node:perf_hooks";
import { type Logger, pino } from "pino";
import { LineBudget } from "./linebudget.js";
import type { LineKind } from "./linekind.js";
import type { LogLevel } from "./loglevel.js";
import type { LogPart } from "./logpart.js";
import { Output } from "./output.js";

/** Until the settings are read; the same as their default. */
const DEFAULT_LINES_PER_SECOND = 500;
/** Milliseconds. */
const DROPPED_REPORT_INTERVAL_MS = 1000;
/** For which the end of the process waits for a slow reader, in milliseconds: far below a stop's own limit. */
const END_TIMEOUT_MS = 300;

/** Made once for a process. */
class LogSink {
    readonly #output = new Output(() => this.#budget.countDropped("decision"));
    readonly #logger: Logger = pino(
        { base: null, messageKey: "message", formatters: { level: toLevel } },
        this.#output,
    );
    #budget = new LineBudget(DEFAULT_LINES_PER_SECOND, performance.now());
    #reportedDroppedAt = 0;

    /** Sets what is written. */
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

    /** Writes what waits, at the end of a process; a reader that stands still is not waited for. */
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
            this.#logger.warn({ part: "daemon", leftOut: droppedCounts }, "Lines were left out.");
        }
    }
}

function toLevel(label: string): object {
    return { level: label };
}

/** The process's own. */
export const logSink = new LogSink();
