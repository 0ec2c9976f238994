/**
 * Records the attempts of one request and what is known of their results.
 *
 * Only counts attempts: decideretry.ts decides whether another one follows. `Target` is the type of what attempts are
 * sent to.
 */
import type { AttemptResult } from "./attemptresult.js";
import { maxRedirects } from "./maxredirects.js";
import { mayHaveArrived } from "./mayhavearrived.js";
import { reasons } from "./reasons.js";

export class AttemptHistory<Target> {
    readonly attempted = new Set<Target>();
    #attempts = 0;
    #redirects = 0;
    /** The free redirects by upstreams that had refused the request before. */
    #repeatedRedirects = 0;
    /** True if the request was sent to the last target before. */
    #isReturn = false;
    #mayHaveRun = false;
    #arrivals = 0;
    #paidArrivals = 0;

    /** The number of attempts, redirects included. */
    get attempts(): number {
        return this.#attempts;
    }

    /** The number of redirects; a redirect does not count as a retry. */
    get redirects(): number {
        return this.#redirects;
    }

    /**
     * The number of attempts that count towards the rule's maximum: all but redirects. A free redirect by an upstream that
     * the request was sent to before counts, since only time would end a series of them.
     */
    get countedAttempts(): number {
        return this.#attempts - this.#redirects + this.#repeatedRedirects;
    }

    /** True once an attempt may have run the request; a later refusal of another attempt does not change that. */
    get mayHaveRun(): boolean {
        return this.#mayHaveRun;
    }

    /** True when an attempt may have reached an upstream, so that the next one is a repeat. */
    get mayHaveArrived(): boolean {
        return this.#arrivals > 0;
    }

    /** True when the next attempt is a repeat for which no budget has been spent yet. */
    get needsBudget(): boolean {
        return this.#arrivals > this.#paidArrivals;
    }

    /** False after the maximum of redirects: the next gate has to serve the request or refuse it. */
    get mayRedirect(): boolean {
        return this.#redirects < maxRedirects;
    }

    /** Records the start of an attempt. */
    begin(target: Target): void {
        this.#attempts += 1;
        this.#isReturn = this.attempted.has(target);
        this.attempted.add(target);
    }

    /** Records that budget has been spent on the next arrival. */
    recordBudgetSpent(): void {
        this.#paidArrivals += 1;
    }

    /** Records a hedge. Its budget has been spent, and it counts as arrived whatever its result is. */
    recordHedge(): void {
        this.#arrivals += 1;
        this.#paidArrivals += 1;
    }

    /** Records the end of an attempt that did not serve the request. */
    end(result: Exclude<AttemptResult<unknown>, { readonly outcome: "served"; }>): void {
        this.#mayHaveRun ||= result.outcome !== "not-run";
        if (mayHaveArrived(result)) {
            this.#arrivals += 1;
        }
        const facts = result.outcome === "failed" ? undefined : reasons[result.reason];
        if (facts?.causesRedirect === true) {
            this.#redirects += 1;
            this.#repeatedRedirects += this.#isReturn && !facts.costsBudget ? 1 : 0;
        }
    }
}
