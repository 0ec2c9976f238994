/** The log of one part of the daemon. */
import { logSink } from "./logsink.js";
import type { Part } from "./part.js";

/** Short sentences, with what they rest on as fields; times in milliseconds, ages in milliseconds. */
export class PartLog {
    constructor(private readonly part: Part) {}

    /** The state of the daemon, or what it knows of others, has changed. */
    change(sentence: string, fields: object = {}): void {
        logSink.write("info", "belief", this.part, sentence, fields);
    }

    /** Something went wrong that is no request's own. */
    warn(sentence: string, err: unknown, fields: object = {}): void {
        const error = err instanceof Error ? err.message : String(err);
        logSink.write("warn", "belief", this.part, sentence, { ...fields, error });
    }

    /** A decision on a request, with what it rests on. */
    decision(id: string, sentence: string, fields: object): void {
        logSink.write("info", "decision", this.part, sentence, { id, ...fields });
    }

    /** A decision on a request that failed, was refused, or may run only once: it is written before others. */
    failure(id: string, sentence: string, fields: object): void {
        logSink.write("info", "failure", this.part, sentence, { id, ...fields });
    }
}
