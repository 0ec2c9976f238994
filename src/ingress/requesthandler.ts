/** One caller's request, from its plan to its answer. */
import type { ServerResponse } from "node:http";
import type { GateAnswer } from "../hop/gateanswer.js";
import { Cancel } from "../http/cancel.js";
import { dropBody } from "../http/dropbody.js";
import { log } from "../log/log.js";
import { Attempt } from "./attempt.js";
import type { AttemptResult } from "./attemptresult.js";
import { deliver } from "./deliver.js";
import type { IngressParts } from "./ingressparts.js";
import type { Neighbour } from "./neighbour.js";
import type { Outgoing } from "./outgoing.js";
import { isOverdue } from "./overdue.js";
import { pickResult } from "./pickresult.js";
import type { Plan } from "./plan.js";
import { problemOf } from "./problemof.js";
import { selectFit } from "./selectfit.js";
import { sendProblem } from "./sendproblem.js";
import { TryRecord } from "./tryrecord.js";
import { untriedFit } from "./untriedfit.js";

const logger = log("ingress");

/** What the caller was told; `left` means that it did not wait. */
type Ending = "served" | "not-run" | "unknown" | "left";

const RETRY_SOON_MS = 250;
const NO_UPSTREAM: AttemptResult = {
    outcome: "not-run",
    reason: "no-upstream",
    retryAfterMs: RETRY_SOON_MS,
    redirected: false,
    retriedBelow: false,
};

/** Owns the answer to the caller: tries, retries, and says the outcome. */
export class Exchange {
    readonly #record: TryRecord;
    readonly #left = new Cancel();
    #timer: NodeJS.Timeout | undefined;
    #claimed: Attempt | undefined;
    #deadlinePassed = false;

    constructor(
        private readonly res: ServerResponse,
        private plan: Plan,
        private readonly out: Outgoing,
        private readonly parts: IngressParts,
    ) {
        this.#record = new TryRecord(out, parts.retries(plan.service.name).budget);
    }

    /** How many upstreams it was sent to, or tried to be. */
    get tries(): number {
        return this.#record.tries;
    }

    /** Serves the request; resolves with what the caller was told. */
    async run(): Promise<Ending> {
        const onClose = (): void => this.#left.abort();
        this.res.on("close", onClose);
        this.#timer = setTimeout(() => {
            this.#deadlinePassed = true;
            this.#left.abort();
        }, this.plan.deadline - this.parts.clock());
        try {
            return await this.#tryUntilSettled();
        }
        finally {
            clearTimeout(this.#timer);
            this.res.removeListener("close", onClose);
        }
    }

    async #tryUntilSettled(): Promise<Ending> {
        let last: AttemptResult | undefined;
        for (;;) {
            const neighbour = this.#place(last);
            const result = neighbour === undefined
                ? last ?? NO_UPSTREAM
                : await this.#tryHedged(neighbour, last?.offer);
            if (result.outcome === "served") {
                return this.res.writableFinished || !this.res.destroyed ? "served" : "left";
            }
            if (this.res.destroyed) {
                return "left";
            }
            this.#record.end(result);
            if (
                neighbour === undefined
                || !this.#record.mayRetry(result, this.plan, this.plan.deadline - this.parts.clock())
            ) {
                return await this.#conclude(result);
            }
            await this.#prepare(result, neighbour);
            if (this.plan.kind === "once" && this.#record.mayHaveRun) {
                return await this.#conclude(result);
            }
            this.#claimed = undefined;
            last = result;
        }
    }

    #place(last: AttemptResult | undefined): Neighbour | undefined {
        const { neighbours, placement, random, clock } = this.parts;
        const all = neighbours.ofService(this.plan.service.name);
        const named = all.find(neighbour => neighbour.upstream === last?.goTo);
        if (named !== undefined) {
            return named;
        }
        const now = clock();
        return placement.choose(selectFit(all, this.#record.tried, now), now, random) as Neighbour | undefined;
    }

    /** Tries a neighbour and, when its answer is overdue, another beside it; the first that answers is taken. */
    async #tryHedged(neighbour: Neighbour, offer: string | undefined): Promise<AttemptResult> {
        const first = this.#attempt(neighbour, offer);
        const running = first.run();
        const second = await this.#hedge(neighbour, running);
        if (second === undefined) {
            return await running;
        }
        const beside = second.run();
        const [one, two] = await Promise.all([this.#overtake(running, second), this.#overtake(beside, first)]);
        const picked = pickResult(one, two);
        dropBody((picked === one ? two : one).answer?.body);
        return picked;
    }

    /** Cancels the other try when this one has served. */
    async #overtake(running: Promise<AttemptResult>, other: Attempt): Promise<AttemptResult> {
        const result = await running;
        if (result.outcome === "served") {
            other.cancel();
        }
        return result;
    }

    /** A second try for a repeatable request whose answer is overdue, if the budget has one. */
    async #hedge(neighbour: Neighbour, running: Promise<AttemptResult>): Promise<Attempt | undefined> {
        const { hedge, retries, clock } = this.parts;
        const { kind, rule, service } = this.plan;
        if (!hedge || kind !== "repeatable" || rule.answer !== "whole" || !this.out.body.kept) {
            return undefined;
        }
        const { hedging, budget } = retries(service.name);
        const { afterMs } = hedging;
        if (afterMs === undefined || !this.#record.allowsMore(this.plan)) {
            return undefined;
        }
        if (!await isOverdue(running, afterMs) || this.#claimed !== undefined || this.#left.aborted) {
            return undefined;
        }
        neighbour.lags(afterMs, clock());
        const other = this.#place(undefined);
        if (other === undefined || this.#record.tried.has(other) || !budget.spendSurplus()) {
            return undefined;
        }
        this.parts.metrics.retried(service.name, "hedge");
        logger.decision(this.out.id, "The answer is overdue; the request is also sent elsewhere.", {
            afterMs,
            overdue: neighbour.upstream,
            upstream: other.upstream,
            budgetLeft: budget.left,
        });
        return this.#attempt(other, undefined);
    }

    #attempt(neighbour: Neighbour, offer: string | undefined): Attempt {
        this.#record.begin(neighbour);
        const untried = this.#record.mayMove ? this.#untried() : [];
        const attempt: Attempt = new Attempt(neighbour, offer, {
            ingress: this.parts,
            plan: this.plan,
            choices: untried.length,
            nearChoices: untried.filter(other => other.near).length,
            out: this.out,
            left: this.#left,
            deadlinePassed: () => this.#deadlinePassed,
            claim: () => this.#claim(attempt),
            deliver: answer => this.#deliver(answer),
        });
        return attempt;
    }

    /** Fit upstreams that have not been tried. */
    #untried(): Neighbour[] {
        const all = this.parts.neighbours.ofService(this.plan.service.name);
        return untriedFit(all, this.#record.tried, this.parts.clock());
    }

    #claim(attempt: Attempt): boolean {
        this.#claimed ??= attempt;
        return this.#claimed === attempt;
    }

    /** Lets the last answer go, and gets a newer rule when the gate has one. */
    async #prepare(result: AttemptResult, neighbour: Neighbour): Promise<void> {
        this.parts.metrics.retried(this.plan.service.name, result.reason);
        dropBody(result.answer?.body);
        if (result.reason === "stale-rule") {
            this.#record.tried.delete(neighbour);
            await this.parts.catchUp(result.revision ?? 0, neighbour.settings.gate);
            this.plan = this.parts.replan(this.out, this.plan);
        }
    }

    async #conclude(result: AttemptResult): Promise<Ending> {
        if (result.answer !== undefined) {
            return await this.#pass(result.answer);
        }
        const outcome = this.#record.mayHaveRun ? "unknown" : "not-run";
        const { reason: detail, retryAfterMs } = result;
        sendProblem(this.res, this.parts.vocabulary, problemOf(result), { outcome, detail, retryAfterMs });
        return outcome;
    }

    /** Passes on an answer that says that the request failed, when there is no more to try. */
    async #pass(answer: GateAnswer): Promise<Ending> {
        try {
            await this.#deliver(answer);
            return "served";
        }
        catch {
            sendProblem(this.res, this.parts.vocabulary, "answer-lost", {
                outcome: "unknown",
                detail: "broken-answer",
            });
            return "unknown";
        }
    }

    #deliver(answer: GateAnswer): Promise<void> {
        const whole = this.plan.rule.answer === "whole";
        if (!whole) {
            clearTimeout(this.#timer);
        }
        return deliver(this.res, answer, whole, this.out.method === "HEAD", this.plan.service.bufferBytes);
    }
}
