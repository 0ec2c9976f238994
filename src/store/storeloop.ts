/**
 * Repeats a step that calls the store until the loop is stopped, with backoff after failures. A step that ended because
 * its connection was replaced is repeated at once.
 */
import { Backoff } from "../time/backoff.js";
import { sleep } from "../time/sleep.js";
import { ConnectionReplacedError } from "./connectionreplacederror.js";

/** Times in milliseconds. */
type LoopDependencies = {
    /** Runs one step; ends early when the signal aborts. */
    readonly step: (signal: AbortSignal) => Promise<void>;
    /** Called with the error of each failed step. The pause before the next step grows with each failure in a row. */
    readonly onFailure: (err: unknown) => void;
    /** Returns the pause after a successful step. */
    readonly pauseMs: () => number;
};

/** Runs at most one loop at a time; it may be started again after a stop. */
export class StoreLoop {
    #loopController: AbortController | undefined;
    #stepController = new AbortController();
    #pauseController = new AbortController();
    #isWoken = false;

    constructor(private readonly deps: LoopDependencies) {}

    get isRunning(): boolean {
        return this.#loopController !== undefined;
    }

    start(): void {
        if (this.#loopController === undefined) {
            this.#loopController = new AbortController();
            void this.#run(this.#loopController.signal);
        }
    }

    stop(): void {
        this.#loopController?.abort();
        this.#loopController = undefined;
        this.#stepController.abort();
        this.#pauseController.abort();
    }

    /** Aborts the present step, which may be waiting on an unresponsive connection. */
    abortStep(): void {
        this.#stepController.abort();
    }

    /** Ends the present pause, or skips the next one, because there is something to do. */
    wake(): void {
        this.#isWoken = true;
        this.#pauseController.abort();
    }

    async #run(stopSignal: AbortSignal): Promise<void> {
        const backoff = new Backoff();
        while (!stopSignal.aborted) {
            this.#stepController = new AbortController();
            this.#isWoken = false;
            try {
                await this.deps.step(this.#stepController.signal);
                backoff.reset();
                await this.#waitForNextStep();
            }
            catch (err) {
                if (stopSignal.aborted) {
                    return;
                }
                if (err instanceof ConnectionReplacedError) {
                    continue;
                }
                this.deps.onFailure(err);
                await sleep(backoff.nextDelayMs(), stopSignal);
            }
        }
    }

    async #waitForNextStep(): Promise<void> {
        this.#pauseController = new AbortController();
        const pauseMs = this.deps.pauseMs();
        if (!this.#isWoken && pauseMs > 0) {
            await sleep(pauseMs, this.#pauseController.signal);
        }
    }
}
