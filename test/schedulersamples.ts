/** Samples how long the main thread of a process has run, and how long it has waited for a processor. */
import { readFileSync } from "node:fs";

const NS_PER_MS = 1e6;
const SAMPLE_EVERY_MS = 100;

/** Owns a timer until `stop` is called. */
export class SchedulerSamples {
    readonly #samples: string[] = [];
    readonly #startedAt = performance.now();
    readonly #timer: NodeJS.Timeout;

    constructor(private readonly pid: number) {
        this.#timer = setInterval(() => this.#sample(), SAMPLE_EVERY_MS);
    }

    /** Returns the samples as text, with the times in milliseconds since the start of the process. */
    stop(): string {
        clearInterval(this.#timer);
        return this.#samples.join("; ");
    }

    /** Takes no sample if the process has ended, or if the system does not state the times (proc(5), schedstat). */
    #sample(): void {
        try {
            const text = readFileSync(`/proc/${this.pid}/schedstat`, "utf8");
            const [ranMs, waitedMs] = text.split(" ").map(ns => Math.round(Number(ns) / NS_PER_MS));
            const afterMs = Math.round(performance.now() - this.#startedAt);
            this.#samples.push(`${afterMs} ms: ran ${ranMs}, waited ${waitedMs}`);
        }
        catch {
            // The samples taken so far are reported.
        }
    }
}
