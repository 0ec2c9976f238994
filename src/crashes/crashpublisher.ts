/**
 * Keeps quarantined requests in the store, so that they stay so after all daemons have started anew.
 *
 * Each daemon beside which one of the upstreams has crashed writes; the store keeps the newest word for as long as the quarantine lasts.
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
 * The store may lose what lies under a lease: one of those who write does so again that often, in milliseconds. Two calls a quarantine each
 * time: longer than most outages of the store that were seen.
 */
const RENEW_EVERY_MS = 20_000;

/** Stores grant no shorter lease; milliseconds. */
const LEAST_MS = 1000;

/** `write` keeps a record for so many milliseconds, and throws a StoreError. */
type PublisherDependencies = {
    readonly guard: CrashGuard;
    readonly clock: Clock;
    readonly write: (record: CrashRecord, keepMs: number) => Promise<void>;
};

/** One loop: writes what is new as soon as may be, and what must not be lost again and again. */
export class CrashPublisher {
    /** As the store has it. */
    readonly #written = new Map<RequestKey, string>();
    readonly #loop: StoreLoop;
    #renewedAt: number;

    constructor(private readonly deps: PublisherDependencies) {
        this.#renewedAt = deps.clock();
        this.#loop = new StoreLoop({
            step: () => this.#step(),
            failed: err => logger.warn("A quarantined request could not be kept in the store.", err),
            pauseMs: () => this.#renewedAt + RENEW_EVERY_MS - deps.clock(),
        });
        deps.guard.onNews(() => this.#loop.wake());
    }

    start(): void {
        this.#loop.start();
    }

    stop(): void {
        this.#loop.stop();
    }

    async #step(): Promise<void> {
        const { guard, clock } = this.deps;
        if (clock() - this.#renewedAt >= RENEW_EVERY_MS) {
            this.#renewedAt = clock();
            guard.firstWitnessed.forEach(({ request }) => this.#written.delete(request));
        }
        for (const record of guard.witnessed) {
            if (this.#written.get(record.request) !== stateOf(record)) {
                await this.#write(record);
            }
        }
        this.#forgetOld();
    }

    async #write(record: CrashRecord): Promise<void> {
        const leftMs = this.deps.guard.quarantinedForMs(record.request) ?? crashLimits.quarantineMs;
        await this.deps.write(record, Math.max(LEAST_MS, Math.ceil(leftMs)));
        this.#written.set(record.request, stateOf(record));
    }

    #forgetOld(): void {
        const known = new Set(this.deps.guard.witnessed.map(({ request }) => request));
        [...this.#written.keys()].filter(request => !known.has(request)).forEach(key => this.#written.delete(key));
    }
}

/** What is worth another write: whether it is quarantined, and by which crashes. */
const stateOf = ({ crashes, cleared }: CrashRecord): string => `${crashes.join()}/${cleared.join()}`;
