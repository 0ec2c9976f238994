/** Watches the store while it is this daemon's turn. */
import { log } from "../log/log.js";
import type { Store } from "../store/store.js";
import { Backoff } from "../time/backoff.js";
import type { Clock } from "../time/clock.js";
import { sleep } from "../time/sleep.js";
import { decodeDocument } from "./decodedocument.js";
import type { Keeper } from "./keeper.js";

const logger = log("config");

/** A loop of waiting watches; each answer confirms the revision. */
export class StoreWatcher {
    #stop: AbortController | undefined;
    #current = new AbortController();
    #version = 0;

    constructor(private readonly store: Store, private readonly keeper: Keeper, private readonly clock: Clock) {}

    get watching(): boolean {
        return this.#stop !== undefined;
    }

    /** Starts or ends the loop. */
    set(watch: boolean): void {
        if (watch && this.#stop === undefined) {
            this.#stop = new AbortController();
            void this.#run(this.#stop.signal);
        }
        if (!watch && this.#stop !== undefined) {
            this.#stop.abort();
            this.#stop = undefined;
        }
    }

    /** Watches anew: what waits may wait on a connection that says nothing any more. */
    renew(): void {
        this.#current.abort();
    }

    async #run(signal: AbortSignal): Promise<void> {
        logger.belief("This daemon watches the store.");
        const backoff = new Backoff();
        while (!signal.aborted) {
            this.#current = new AbortController();
            try {
                await this.#watchOnce(AbortSignal.any([signal, this.#current.signal]));
                backoff.reset();
            }
            catch (err) {
                if (!signal.aborted) {
                    logger.trouble("The watch of the configuration failed.", err, { revision: this.keeper.revision });
                    await sleep(backoff.next(), signal);
                }
            }
        }
    }

    /** The time before the call is what is confirmed: the answer may have been on its way for long. */
    async #watchOnce(signal: AbortSignal): Promise<void> {
        const askedAt = this.clock();
        const stored = await this.store.watch(this.#version, signal);
        if (stored !== undefined) {
            const document = decodeDocument(stored.value);
            this.#version = stored.version;
            this.keeper.adopt(document);
        }
        this.keeper.confirm(this.keeper.revision, askedAt);
    }
}
