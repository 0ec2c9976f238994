/** What has become of a request's tries so far, and whether another follows. */
import { log } from "../log/log.js";
import { decideRetry } from "../policy/retry/decideretry.js";
import type { RetryBudget } from "../policy/retry/retrybudget.js";
import type { AttemptResult } from "./attemptresult.js";
import type { Neighbour } from "./neighbour.js";
import type { Outgoing } from "./outgoing.js";
import type { Plan } from "./plan.js";
import { problemOf } from "./problemof.js";

const logger = log("ingress");

/** The upstream itself refused; its siblings may well take the request. */
const SHED = "shed";
/** Tries of one request at the most, redirects apart, where the rule does not say. */
const DEFAULT_TRIES = 3;
/** After so many redirects a gate is asked to serve the request as it is. */
const MAX_MOVES = 2;

/** One for each request. */
export class TryRecord {
    readonly tried = new Set<Neighbour>();
    #tries = 0;
    #redirects = 0;
    #mayHaveRun = false;

    constructor(private readonly out: Outgoing, private readonly budget: RetryBudget) {}

    /** Tries, redirects among them. */
    get tries(): number {
        return this.#tries;
    }

    /** A try has been sent whose request may have run, and then no later refusal proves the contrary. */
    get mayHaveRun(): boolean {
        return this.#mayHaveRun;
    }

    /** False when the request has been moved so often that it must be served where it is. */
    get mayMove(): boolean {
        return this.#redirects < MAX_MOVES;
    }

    begin(neighbour: Neighbour): void {
        this.#tries += 1;
        this.tried.add(neighbour);
    }

    /** True while the rule allows another try beside those that are made. */
    allowsMore(plan: Plan): boolean {
        return this.#tries - this.#redirects < (plan.rule.maxTries ?? DEFAULT_TRIES);
    }

    /** Takes in the end of a try that did not serve the request. */
    end(result: AttemptResult): void {
        this.#mayHaveRun ||= result.outcome !== "not-run";
        this.#redirects += result.redirected ? 1 : 0;
    }

    /** Decides whether another follows; spends from the budget when it does. */
    mayRetry(result: AttemptResult, plan: Plan, remainingMs: number): boolean {
        const again = decideRetry({
            outcome: result.outcome as "not-run",
            kind: plan.kind,
            tries: this.#tries - this.#redirects,
            maxTries: plan.rule.maxTries ?? DEFAULT_TRIES,
            remainingMs,
            bodyKept: this.out.body.kept,
            retriedBelow: result.retriedBelow,
            redirected: result.redirected,
            redirects: this.#redirects,
            overloaded: problemOf(result) === "overloaded" && result.reason !== SHED,
        }, this.budget);
        const { outcome, reason } = result;
        logger.failure(this.out.id, again ? "The try came to nothing; another follows." : "The try came to nothing.", {
            outcome,
            reason,
            tries: this.#tries,
            redirects: this.#redirects,
            remainingMs: Math.round(remainingMs),
            budgetLeft: this.budget.left,
        });
        return again;
    }
}
