/**
 * Writes quarantined requests to the store, so that they stay quarantined even if all daemons restart.
 *
 * Each daemon with one of the crashed upstreams beside it writes the record. The store keeps the latest version until
 * the quarantine ends.
 */
import type { RequestKey } from "../ids/requestkey.js";
import { log } from "../log/log.js";
import { crashLimits } from "../policy/quarantine/crashlimits.js";
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import { StoreLoop } from "../store/storeloop.js";
import type { Clock } from "../time/clock.js";
import type { CrashGuard } from "./crashguard.js";

const logger = log("peer");

/**
 * Interval at which one of the writing daemons writes a record again, because the store may lose records with a lease.
 * Each time costs two store calls for each quarantined request. The interval is longer than most outages of the store.
 */
const RENEW_INTERVAL_MS = 20_000;

/** Shortest lease that a store grants. */
const MIN_LEASE_MS = 1000;

type CrashPublisherDependencies = {
    readonly guard: CrashGuard;
    readonly clock: Clock;
    /** Writes a record that the store keeps for `leaseMs`; rejects with a StoreError. */
    readonly write: (record: CrashRecord, leaseMs: number) => Promise<void>;
};

/** Writes changed records as soon as possible, and renews the others regularly. */
export class CrashPublisher {
    /** Content of the records as last written. */
    readonly #written = new Map<RequestKey, string>();
    readonly #loop: StoreLoop;
    #renewedAt: number;

    constructor(private readonly deps: CrashPublisherDependencies) {
        this.#renewedAt = deps.clock();
        this.#loop = new StoreLoop({
            step: () => this.#step(),
            onFailure: err =>
                logger.warn("Could not write a quarantined request to the store; the write will be retried.", err),
            pauseMs: () => this.#renewedAt + RENEW_INTERVAL_MS - deps.clock(),
        });
        deps.guard.onChange(() => this.#loop.wake());
    }

    start(): void {
        this.#loop.start();
    }

    stop(): void {
        this.#loop.stop();
    }

    async #step(): Promise<void> {
        const { guard, clock } = this.deps;
        if (clock() - this.#renewedAt >= RENEW_INTERVAL_MS) {
            this.#renewedAt = clock();
            guard.recordsToRenew.forEach(({ request }) => this.#written.delete(request));
        }
        for (const record of guard.recordsToPublish) {
            if (this.#written.get(record.request) !== contentKey(record)) {
                await this.#write(record);
            }
        }
        this.#dropUnknown();
    }

    async #write(record: CrashRecord): Promise<void> {
        const remainingMs = this.deps.guard.quarantinedForMs(record.request) ?? crashLimits.quarantineMs;
        await this.deps.write(record, Math.max(MIN_LEASE_MS, Math.ceil(remainingMs)));
        this.#written.set(record.request, contentKey(record));
    }

    #dropUnknown(): void {
        const known = new Set(this.deps.guard.recordsToPublish.map(({ request }) => request));
        [...this.#written.keys()].filter(request => !known.has(request)).forEach(request =>
            this.#written.delete(request)
        );
    }
}

/** Returns the part of a record whose change requires a write: its crashes, and those that are cleared. */
const contentKey = ({ crashes, cleared }: CrashRecord): string => `${crashes.join()}/${cleared.join()}`;
