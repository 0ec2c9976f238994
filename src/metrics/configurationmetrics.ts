/** Defines the metrics of how revisions of the configuration are passed on between daemons. */
import { Histogram, type Registry } from "prom-client";
import { latencyBucketsS } from "./latencybuckets.js";

const MS_PER_SECOND = 1000;

/** `not-newer`: the peer's update contained no newer revision than was applied by then. */
type PullOutcome = "newer" | "not-newer" | "failed";

/** Durations are in milliseconds. */
export class ConfigurationMetrics {
    readonly #pulls: Histogram<"outcome">;
    readonly #announcements: Histogram;

    constructor(registry: Registry) {
        this.#pulls = new Histogram({
            name: "winglock_configuration_pull_seconds",
            help: "Time from the call to a peer until its update of the configuration is applied, by outcome.",
            labelNames: ["outcome"] as const,
            buckets: latencyBucketsS,
            registers: [registry],
        });
        this.#announcements = new Histogram({
            name: "winglock_configuration_announcement_seconds",
            help: "Time from a new revision until a heartbeat with it has been sent to each recipient.",
            buckets: latencyBucketsS,
            registers: [registry],
        });
    }

    /** Records the end of a pull from a peer. */
    recordPull(outcome: PullOutcome, tookMs: number): void {
        this.#pulls.observe({ outcome }, tookMs / MS_PER_SECOND);
    }

    /** Records that heartbeats with a new revision have been sent to all recipients. */
    recordAnnouncement(tookMs: number): void {
        this.#announcements.observe(tookMs / MS_PER_SECOND);
    }
}
