/** The log of one part of the daemon. */
import type { LogPart } from "./logpart.js";
import { logSink } from "./logsink.js";

/** Short sentences, with what they rest on as fields; times in milliseconds, ages in milliseconds. */
export class PartLog {
    constructor(private readonly part: LogPart) {}

    /** The state of the daemon, or what it knows of others, has changed. */
    change(message: string, fields: object = {}): void {
        logSink.write("info", "belief", this.part, message, fields);
    }

    /** Something went wrong that is no request's own. */
    warn(message: string, err: unknown, fields: object = {}): void {
        const error = err instanceof Error ? err.message : String(err);
        logSink.write("warn", "belief", this.part, message, { ...fields, error });
    }

    /** A decision on a request, with what it rests on. */
    decision(id: string, message: string, fields: object): void {
        logSink.write("info", "decision", this.part, message, { id, ...fields });
    }

    /** A decision on a request that failed, was refused, or may run only once: it is written before others. */
    failure(id: string, message: string, fields: object): void {
        logSink.write("info", "failure", this.part, message, { id, ...fields });
    }
}
