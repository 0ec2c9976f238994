/** Records how long a watcher takes to send heartbeats with a new revision to all recipients. */
import { log } from "../log/log.js";
import type { Metrics } from "../metrics/metrics.js";
import type { HeartbeatSender } from "./heartbeatsender.js";

const logger = log("config");

type Announcement = { readonly revision: number; readonly startedAt: number; readonly refusedCount: number; };

/** Tracks the announcement of the newest revision. Times are in milliseconds. */
export class RevisionAnnouncements {
    #current: Announcement | undefined;

    constructor(private readonly sender: HeartbeatSender, private readonly metrics: Metrics) {}

    /** Records that heartbeats with this revision are due to all recipients. */
    begin(revision: number, now: number): void {
        this.#current = { revision, startedAt: now, refusedCount: this.sender.refusedCount };
    }

    /** Logs the announcement once no urgent heartbeat waits. */
    check(now: number): void {
        if (this.#current === undefined || this.sender.hasUrgent) {
            return;
        }
        const { revision, startedAt, refusedCount } = this.#current;
        this.#current = undefined;
        const tookMs = Math.round(now - startedAt);
        this.metrics.configuration.recordAnnouncement(tookMs);
        logger.change("A new configuration revision has been announced.", {
            revision,
            tookMs,
            refusedCount: this.sender.refusedCount - refusedCount,
        });
    }
}
