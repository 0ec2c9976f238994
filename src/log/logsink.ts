/** Where all log lines of a process go: standard output, by pino, bounded and never waited for. */
import { performance } from "node:perf_hooks";
import { type Logger, pino } from "pino";
import { LineBudget } from "./linebudget.js";
import type { LineKind } from "./linekind.js";
import type { LogLevel } from "./loglevel.js";
import { Output } from "./output.js";
import type { Part } from "./part.js";

/** Until the settings are read; the same as their default. */
const DEFAULT_LINES_PER_SECOND = 500;
/** Milliseconds. */
const SAY_LEFT_OUT_EVERY_MS = 1000;
/** For which the end of the process waits for a slow reader, in milliseconds: far below a stop's own limit. */
const END_MS = 300;

/** Made once for a process. */
class LogSink {
    readonly #output = new Output(() => this.#budget.leaveOut("decision"));
    readonly #logger: Logger = pino(
        { base: null, messageKey: "message", formatters: { level: toLevel } },
        this.#output,
    );
    #budget = new LineBudget(DEFAULT_LINES_PER_SECOND, performance.now());
    #saidAt = 0;

    /** Sets what is written. */
    configure(level: LogLevel, linesPerSecond: number): void {
        this.#logger.level = level;
        this.#budget = new LineBudget(linesPerSecond, performance.now());
    }

    /** Writes a line if the budget allows it. */
    write(level: "info" | "warn" | "error", kind: LineKind, part: Part, sentence: string, fields: object): void {
        if (!this.#logger.isLevelEnabled(level)) {
            return;
        }
        const now = performance.now();
        if (this.#budget.spend(kind, now)) {
            this.#logger[level]({ part, ...fields }, sentence);
        }
        this.#sayLeftOut(now);
    }

    /** Writes what waits, at the end of a process; a reader that stands still is not waited for. */
    end(): Promise<void> {
        return this.#output.end(END_MS);
    }

    #sayLeftOut(now: number): void {
        if (now - this.#saidAt < SAY_LEFT_OUT_EVERY_MS) {
            return;
        }
        this.#saidAt = now;
        const leftOut = this.#budget.takeLeftOut();
        if (leftOut !== undefined) {
            this.#logger.warn({ part: "daemon", leftOut }, "Lines were left out.");
        }
    }
}

function toLevel(label: string): object {
    return { level: label };
}

/** The process's own. */
export const logSink = new LogSink();
