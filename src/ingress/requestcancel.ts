/** Cancels the attempts of one request when nobody needs their response any more. Owns the timer of its deadline. */
import { Cancellation } from "../http/cancellation.js";
import type { CallerResponse } from "./callerresponse.js";
import type { Plan } from "./plan.js";

/** Observes the request until `end`. */
export class RequestCancel {
    /** Aborts when the caller has left, the run that made the call was cancelled, or the deadline has passed. */
    readonly cancellation = new Cancellation();
    #isDeadlinePassed = false;
    readonly #timer: NodeJS.Timeout;
    readonly #removeListeners: readonly (() => void)[];

    /** `now` is in milliseconds on the daemon's clock. */
    constructor(response: CallerResponse, private readonly plan: Pick<Plan, "deadline" | "runCancel">, now: number) {
        const abort = (): void => this.cancellation.abort();
        const { deadline, runCancel } = plan;
        this.#removeListeners = [response.onClose(abort), ...runCancel === undefined ? [] : [runCancel.onAbort(abort)]];
        this.#timer = setTimeout(() => {
            this.#isDeadlinePassed = true;
            abort();
        }, deadline - now);
        if (this.isRunCancelled) {
            abort();
        }
    }

    get isDeadlinePassed(): boolean {
        return this.#isDeadlinePassed;
    }

    /** True if the run that made the call was cancelled: its upstream needs no response to the call. */
    get isRunCancelled(): boolean {
        return this.plan.runCancel?.aborted === true;
    }

    /** Ends the deadline, for a response that is streamed. */
    clearDeadline(): void {
        clearTimeout(this.#timer);
    }

    end(): void {
        this.clearDeadline();
        this.#removeListeners.forEach(remove => remove());
    }
}
