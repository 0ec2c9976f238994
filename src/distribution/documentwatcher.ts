/** Watches the configuration document and the evacuated halls in the store while this daemon is a watcher. */
import type { Evacuations } from "../evacuation/evacuations.js";
import { log } from "../log/log.js";
import type { Store } from "../store/store.js";
import { StoreLoop } from "../store/storeloop.js";
import type { Clock } from "../time/clock.js";
import type { CurrentConfiguration } from "./currentconfiguration.js";
import type { DocumentApplier } from "./documentapplier.js";

const logger = log("config");

/** Repeats a long-polling watch; each response confirms the revision. */
export class DocumentWatcher {
    readonly #loop: StoreLoop;
    #version = 0;
    #maxWaitMs: () => number | undefined = () => undefined;

    constructor(
        private readonly store: Store,
        private readonly configuration: CurrentConfiguration,
        private readonly evacuations: Evacuations,
        private readonly applier: DocumentApplier,
        private readonly clock: Clock,
    ) {
        this.#loop = new StoreLoop({
            step: signal => this.#watchOnce(signal),
            onFailure: err =>
                logger.warn("A watch of the configuration in the store failed; it is retried.", err, {
                    revision: configuration.revision,
                }),
            pauseMs: () => 0,
        });
    }

    get isWatching(): boolean {
        return this.#loop.isRunning;
    }

    /** Sets the function that returns how long the next watch may wait, in milliseconds. */
    setMaxWaitSource(maxWaitMs: () => number): void {
        this.#maxWaitMs = maxWaitMs;
    }

    /** Starts or stops the loop. */
    setWatching(watch: boolean): void {
        if (!watch) {
            this.#loop.stop();
        }
        else if (!this.#loop.isRunning) {
            logger.change("This daemon has started to watch the configuration in the store.");
            this.#loop.start();
        }
    }

    /** Replaces the pending watch by a new one: its connection may be broken without an error. */
    renew(): void {
        this.#loop.abortStep();
    }

    /**
     * Confirms the revision as of the time before the request, because the response may have been in transit for long.
     * A document is confirmed when it is applied, and the previous one while an invalid one is stored, since it stays in
     * force. Documents are applied beside the next watch, so that they don't delay evacuations.
     */
    async #watchOnce(signal: AbortSignal): Promise<void> {
        const requestedAt = this.clock();
        const { document, halls } = await this.store.watch(this.#version, signal, this.#maxWaitMs());
        if (halls !== undefined) {
            this.evacuations.recordStoreChange(halls);
        }
        if (document !== undefined) {
            this.#version = document.version;
            void this.applier.apply(document, requestedAt);
        }
        else if (this.applier.isIdle) {
            this.configuration.confirm(this.configuration.revision, requestedAt);
        }
    }
}
