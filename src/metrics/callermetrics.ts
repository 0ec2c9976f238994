/** Defines the metrics of what callers make the daemon hold. */
import { Counter, Gauge, type Registry } from "prom-client";

/** Reads its values at each scrape. */
export class CallerMetrics {
    constructor(private readonly registry: Registry) {}

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
