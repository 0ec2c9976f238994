/** Publishes this daemon's record in the registry, and renews it. */
import { log } from "../log/log.js";
import { StoreLoop } from "../store/storeloop.js";
import type { Member } from "../wire/member.js";
import type { Registry } from "./registry.js";

const logger = log("roster");

/** A third of the record's lease. */
const RENEWAL_INTERVAL_MS = 3000;
/** Shorter for a watcher: its followers rely on its contact with the store, and each renewal checks that contact. */
const WATCHER_RENEWAL_INTERVAL_MS = 2000;

type PublisherDependencies = {
    readonly registry: Registry;
    readonly ownRecord: () => Member;
    /** Returns true while this daemon watches the store for others. */
    readonly isWatching: () => boolean;
    /** Called after each call of the store that failed. */
    readonly onFailure: () => void;
    /** Called after each publication or renewal that succeeded. */
    readonly onSuccess: () => void;
};

/** Runs one loop, which publishes the record if it has changed, and renews it otherwise. */
export class RecordPublisher {
    readonly #loop: StoreLoop;
    /** The version of the record in the store; undefined if the record has to be published. */
    #publishedVersion: number | undefined;

    constructor(private readonly deps: PublisherDependencies) {
        this.#loop = new StoreLoop({
            step: () => this.#step(),
            onFailure: err => this.#onStepFailed(err),
            pauseMs: () => deps.isWatching() ? WATCHER_RENEWAL_INTERVAL_MS : RENEWAL_INTERVAL_MS,
        });
    }

    start(): void {
        this.#loop.start();
    }

    /**
     * Publishes the record without waiting for the next renewal; called if it has changed or is gone from the store.
     */
    publishSoon(): void {
        this.#publishedVersion = undefined;
        this.#loop.wake();
    }

    /** Stops the loop, and withdraws the record if the store responds in time. */
    async stop(): Promise<void> {
        this.#loop.stop();
        try {
            await this.deps.registry.withdraw();
        }
        catch (err) {
            logger.warn("This daemon's record could not be withdrawn; it stays until its lease expires.", err);
        }
    }

    #onStepFailed(err: unknown): void {
        logger.warn(
            "This daemon's record could not be published or renewed; the next attempt follows after a backoff.",
            err,
        );
        this.deps.onFailure();
    }

    async #step(): Promise<void> {
        const record = this.deps.ownRecord();
        if (this.#publishedVersion !== record.version || !await this.deps.registry.renew()) {
            await this.#publish(record);
        }
        this.deps.onSuccess();
    }

    /** Sets the version before the call, so that a change during the call is published after it. */
    async #publish(record: Member): Promise<void> {
        this.#publishedVersion = record.version;
        try {
            await this.deps.registry.publish(record);
        }
        catch (err) {
            this.#publishedVersion = undefined;
            throw err;
        }
    }
}
