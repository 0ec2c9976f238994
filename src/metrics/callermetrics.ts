/** Defines the metrics of what callers make the daemon hold. */
import { Counter, Gauge, Histogram, type Registry } from "prom-client";
import { latencyBucketsS } from "./latencybuckets.js";

const MS_PER_SECOND = 1000;

/** Reads the values of its gauges and counters at each scrape. */
export class CallerMetrics {
    readonly #unread: Histogram;

    constructor(private readonly registry: Registry) {
        this.#unread = new Histogram({
            name: "winglock_request_unread_seconds",
            help: "The longest time for which each request can have been unread when it was read.",
            buckets: latencyBucketsS,
            registers: [registry],
        });
    }

    /** Records the longest time for which a request can have been unread when it was read, in milliseconds. */
    recordUnread(ms: number): void {
        this.#unread.observe(ms / MS_PER_SECOND);
    }

    /** Adds a counter for the connections that were closed because of a limit; `counts` has them by reason. */
    showClosures(counts: ReadonlyMap<string, number>): void {
        new Counter({
            name: "winglock_closed_connections_total",
            help: "Connections of callers that were closed because of a limit.",
            labelNames: ["reason"] as const,
            registers: [this.registry],
            collect() {
                this.reset();
                counts.forEach((count, reason) => this.inc({ reason }, count));
            },
        });
    }

    /** Adds a gauge for the memory of the requests that were parsed and not answered, in bytes. */
    showRequestMemory(heldBytes: () => number): void {
        new Gauge({
            name: "winglock_request_memory_bytes",
            help: "Memory of the requests that were parsed and not answered.",
            registers: [this.registry],
            collect() {
                this.set(heldBytes());
            },
        });
    }
}
