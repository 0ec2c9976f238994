/** Writes the log lines of one part of the daemon. */
import type { LogPart } from "./logpart.js";
import { logSink } from "./logsink.js";

/** Messages are short sentences; the values behind them are fields. Times and ages are in milliseconds. */
export class PartLog {
    constructor(private readonly part: LogPart) {}

    /** Logs a change of the daemon's state or of its view of other daemons. */
    change(message: string, fields: object = {}): void {
        logSink.write("info", "belief", this.part, message, fields);
    }

    /** Logs an error that does not belong to a single request. */
    warn(message: string, err: unknown, fields: object = {}): void {
        const error = err instanceof Error ? err.message : String(err);
        logSink.write("warn", "belief", this.part, message, { ...fields, error });
    }

    /** Logs a decision on a request, with the values that it is based on. */
    decision(id: string, message: string, fields: object): void {
        logSink.write("info", "decision", this.part, message, { id, ...fields });
    }

    /** Logs a decision on a request that failed, was refused or may run only once. Has a larger budget than others. */
    failure(id: string, message: string, fields: object): void {
        logSink.write("info", "failure", this.part, message, { id, ...fields });
    }
}
