/**
 * Keeps quarantined requests in the store, so that they stay so after all daemons have started anew.
 *
 * Each daemon beside which one of the upstreams has crashed writes; the store keeps the newest word for as long as the quarantine lasts.
 */
import type { RequestKey } from "../ids/requestkey.js";
import { log } from "../log/log.js";
import { crashLimits } from "../policy/quarantine/crashlimits.js";
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import { Backoff } from "../time/backoff.js";
import { sleep } from "../time/sleep.js";
import { Ticker } from "../time/ticker.js";
import type { CrashGuard } from "./crashguard.js";

const logger = log("peer");

/**
 * The store may lose what lies under a lease: one of those who write does so again that often, in milliseconds. Two calls a quarantine each
 * time; chosen, longer than most outages of the store that were seen.
 */
const RENEW_EVERY_MS = 20_000;

/** Stores grant no shorter lease; milliseconds. */
const LEAST_MS = 1000;

/** `write` keeps a record for so many milliseconds, and throws a StoreError. */
type PublisherParts = {
    readonly guard: CrashGuard;
    readonly write: (record: CrashRecord, keepMs: number) => Promise<void>;
};

/** One loop, while there is something to write. */
export class CrashPublisher {
    /** As the store has it. */
    readonly #written = new Map<RequestKey, string>();
    readonly #renewal = new Ticker(RENEW_EVERY_MS, () => this.#renew());
    #isWriting = false;
    #isStopped = false;

    constructor(private readonly parts: PublisherParts) {
        parts.guard.onNews(() => void this.#run());
    }

    start(): void {
        this.#renewal.start();
    }

    stop(): void {
        this.#isStopped = true;
        this.#renewal.stop();
    }

    #renew(): void {
        this.parts.guard.firstWitnessed.forEach(({ request }) => this.#written.delete(request));
        void this.#run();
    }

    async #run(): Promise<void> {
        if (this.#isWriting) {
            return;
        }
        this.#isWriting = true;
        const backoff = new Backoff();
        for (let next = this.#next(); next !== undefined && !this.#isStopped; next = this.#next()) {
            try {
                await this.#write(next);
                backoff.reset();
            }
            catch (err) {
                logger.warn("A quarantined request could not be kept in the store.", err, { request: next.request });
                await sleep(backoff.next());
            }
        }
        this.#isWriting = false;
    }

    #next(): CrashRecord | undefined {
        const { witnessed } = this.parts.guard;
        const known = new Set(witnessed.map(({ request }) => request));
        [...this.#written.keys()].filter(request => !known.has(request)).forEach(key => this.#written.delete(key));
        return witnessed.find(record => this.#written.get(record.request) !== stateOf(record));
    }

    async #write(record: CrashRecord): Promise<void> {
        const leftMs = this.parts.guard.quarantinedForMs(record.request) ?? crashLimits.holdMs;
        await this.parts.write(record, Math.max(LEAST_MS, Math.ceil(leftMs)));
        this.#written.set(record.request, stateOf(record));
    }
}

/** What is worth another write: whether it is quarantined, and by which crashes. */
const stateOf = ({ crashes, cleared }: CrashRecord): string => `${crashes.join()}/${cleared.join()}`;
