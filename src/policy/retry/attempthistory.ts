/**
 * What has become of a request's attempts so far?
 *
 * Counts only: whether another attempt follows is for decideretry.ts to say. `Target` is whatever attempts are made at.
 */
import type { AttemptResult } from "./attemptresult.js";
import { maxMoves } from "./maxmoves.js";
import { mayHaveArrived } from "./mayhavearrived.js";
import { reasons } from "./reasons.js";

/** One for each request. */
export class AttemptHistory<Target> {
    readonly tried = new Set<Target>();
    #attempts = 0;
    #moves = 0;
    #mayHaveRun = false;
    #arrivals = 0;
    #paid = 0;

    /** Attempts, moves among them. */
    get attempts(): number {
        return this.#attempts;
    }

    get moves(): number {
        return this.#moves;
    }

    /** Attempts that count against what the rule allows. */
    get counted(): number {
        return this.#attempts - this.#moves;
    }

    /** The request may have run in one attempt, and then no later refusal proves the contrary. */
    get mayHaveRun(): boolean {
        return this.#mayHaveRun;
    }

    /** An attempt may have reached an upstream, so that the next is not the first arrival. */
    get mayHaveArrived(): boolean {
        return this.#arrivals > 0;
    }

    /** The next arrival would be one that nothing has been paid for. */
    get owes(): boolean {
        return this.#arrivals > this.#paid;
    }

    /** False when the request has moved so often that it must be served where it is. */
    get mayMove(): boolean {
        return this.#moves < maxMoves;
    }

    begin(target: Target): void {
        this.#attempts += 1;
        this.tried.add(target);
    }

    /** Records that the next arrival is paid for. */
    pay(): void {
        this.#paid += 1;
    }

    /** Records a hedge: it is paid for, and whatever comes of it, it may have arrived. */
    hedge(): void {
        this.#arrivals += 1;
        this.#paid += 1;
    }

    /** Records the end of an attempt that did not serve the request. */
    end(result: Exclude<AttemptResult<unknown>, { readonly outcome: "served"; }>): void {
        this.#mayHaveRun ||= result.outcome !== "not-run";
        if (mayHaveArrived(result)) {
            this.#arrivals += 1;
        }
        if (result.outcome !== "failed" && reasons[result.reason].moves) {
            this.#moves += 1;
        }
    }
}
