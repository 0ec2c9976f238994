/** Repeats a step against the store for as long as it is wanted, and goes easy on a store that fails. */
import { Backoff } from "../time/backoff.js";
import { sleep } from "../time/sleep.js";

/** Times in milliseconds. */
type LoopDependencies = {
    /** One step; it ends early when the signal aborts. */
    readonly step: (signal: AbortSignal) => Promise<void>;
    /** Told of each step that failed; the next one follows after a pause that grows with each failure in a row. */
    readonly failed: (err: unknown) => void;
    /** The pause after a step that did not fail. */
    readonly pauseMs: () => number;
};

/** One loop at a time; it may be started again after a stop. */
export class StoreLoop {
    #stop: AbortController | undefined;
    #step = new AbortController();
    #pause = new AbortController();
    #isWoken = false;

    constructor(private readonly deps: LoopDependencies) {}

    get running(): boolean {
        return this.#stop !== undefined;
    }

    start(): void {
        if (this.#stop === undefined) {
            this.#stop = new AbortController();
            void this.#run(this.#stop.signal);
        }
    }

    stop(): void {
        this.#stop?.abort();
        this.#stop = undefined;
        this.#step.abort();
        this.#pause.abort();
    }

    /** Ends the present step, which may wait on a connection that carries nothing any more. */
    renew(): void {
        this.#step.abort();
    }

    /** Leaves out the next pause: there is something to do. */
    wake(): void {
        this.#isWoken = true;
        this.#pause.abort();
    }

    async #run(stopped: AbortSignal): Promise<void> {
        const backoff = new Backoff();
        while (!stopped.aborted) {
            this.#step = new AbortController();
            this.#isWoken = false;
            try {
                await this.deps.step(this.#step.signal);
                backoff.reset();
                await this.#rest();
            }
            catch (err) {
                if (stopped.aborted) {
                    return;
                }
                this.deps.failed(err);
                await sleep(backoff.next(), stopped);
            }
        }
    }

    async #rest(): Promise<void> {
        this.#pause = new AbortController();
        const pauseMs = this.deps.pauseMs();
        if (!this.#isWoken && pauseMs > 0) {
            await sleep(pauseMs, this.#pause.signal);
        }
    }
}
