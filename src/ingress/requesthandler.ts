/**
 * Serves one caller's request, from its plan to its response.
 *
 * Owns the response to the caller, the deadline timer and the sequence of attempts. src/policy decides on the upstream,
 * on further attempts (see requestretries.ts) and on the problem sent when no attempt served the request; this module
 * carries the decisions out and logs them.
 */
import type { GateResponse } from "../hop/gateresponse.js";
import { drainResponse } from "../http/drainresponse.js";
import { isUnread } from "../http/isunread.js";
import { unplacedRetryAfterMs } from "../policy/admission/unplacedretryafterms.js";
import type { Arrival } from "../policy/retry/arrival.js";
import type { AttemptResult } from "../policy/retry/attemptresult.js";
import { decideProblem } from "../policy/retry/decideproblem.js";
import { reasonLabel } from "../policy/retry/reasonlabel.js";
import { Attempt } from "./attempt.js";
import { bodyBytes } from "./bodybytes.js";
import type { CallerResponse } from "./callerresponse.js";
import type { IngressDependencies } from "./ingressdependencies.js";
import type { OutgoingRequest } from "./outgoingrequest.js";
import type { Plan } from "./plan.js";
import { RequestCancel } from "./requestcancel.js";
import { RequestLog } from "./requestlog.js";
import type { RequestOutcome } from "./requestoutcome.js";
import { RequestQuarantine } from "./requestquarantine.js";
import { RequestQuota } from "./requestquota.js";
import { RequestRetries } from "./requestretries.js";
import { runHedged } from "./runhedged.js";
import { TargetSelector } from "./targetselector.js";
import type { UnservedResult } from "./unservedresult.js";
import type { UpstreamView } from "./upstreamview.js";

type Result = AttemptResult<GateResponse>;
type NoResponse = Exclude<UnservedResult, { readonly outcome: "failed"; }>;

/** Handles one request; `run` must be called only once. */
export class RequestHandler {
    readonly #cancel: RequestCancel;
    readonly #log: RequestLog;
    readonly #retries: RequestRetries;
    readonly #targets: TargetSelector;
    readonly #quota: RequestQuota;
    /** The attempt whose response goes to the caller. */
    #claimed: Attempt | undefined;
    /** False once a newer configuration has no rule for the request. */
    #hasRule = true;
    readonly #quarantine: RequestQuarantine;

    constructor(
        private readonly response: CallerResponse,
        private plan: Plan,
        private readonly outgoing: OutgoingRequest,
        private readonly deps: IngressDependencies,
    ) {
        this.#cancel = new RequestCancel(response, plan, deps.clock());
        this.#log = new RequestLog(outgoing.id);
        this.#quarantine = new RequestQuarantine(deps, outgoing);
        this.#retries = new RequestRetries({
            ingress: deps,
            plan: () => this.plan,
            bodyKept: outgoing.body.kept,
            isBodyUnread: () => isUnread(outgoing.body.content),
            requestsBehind: () => response.requestsBehind,
            quarantineStatus: () => this.#quarantine.status(),
            log: this.#log,
        });
        this.#targets = new TargetSelector(deps, {
            plan: () => this.plan,
            bodyBytes: bodyBytes(outgoing),
            tried: this.#retries.history.attempted,
        });
        this.#quota = new RequestQuota(deps, plan, this.#log);
    }

    /** The number of attempts, including those that reached no upstream. */
    get attempts(): number {
        return this.#retries.history.attempts;
    }

    /** Serves the request; resolves with the outcome that the caller was given. */
    async run(): Promise<RequestOutcome> {
        this.#retries.recordArrival();
        try {
            return await this.#runAttempts();
        }
        finally {
            this.#cancel.end();
            this.#quota.end();
        }
    }

    async #runAttempts(): Promise<RequestOutcome> {
        let last: UnservedResult | undefined = this.#quarantine.refusal() ?? await this.#quota.refusal();
        if (last !== undefined) {
            return await this.#respondUnserved(last);
        }
        for (;;) {
            const { goTo, offer }: Partial<NoResponse> = last === undefined || last.outcome === "failed" ? {} : last;
            const target = this.#targets.choose(goTo);
            if (target === undefined) {
                return await this.#endWithoutUpstream(last ?? this.#targets.unplacedResult);
            }
            const result = await this.#attemptWithHedge(target, offer);
            this.#targets.record(target, result);
            this.#quota.recordAttempt(result.outcome !== "not-run");
            if (result.outcome === "served") {
                return this.response.hasCallerLeft ? "left" : "served";
            }
            if (this.response.hasCallerLeft) {
                return "left";
            }
            this.#retries.history.end(result);
            if (this.#cancel.isRunCancelled) {
                this.#log.callCancelled();
                return await this.#respondUnserved(result);
            }
            if (!this.#retries.decide(result).again || !this.#quota.mayAttempt()) {
                return await this.#respondUnserved(result);
            }
            await this.#prepareRetry(result, target);
            if (this.plan.kind === "once" && this.#retries.history.mayHaveRun) {
                return await this.#respondUnserved(result);
            }
            if (!this.#hasRule) {
                return this.#respondWithoutRule();
            }
            this.#claimed = undefined;
            last = result;
        }
    }

    /** Ends a request for which no upstream is eligible; `last` is the result of its last attempt, or that of none. */
    async #endWithoutUpstream(last: UnservedResult): Promise<RequestOutcome> {
        if (this.response.hasCallerLeft) {
            return "left";
        }
        this.#retries.logDecision(last, { again: false, why: "no-upstream" });
        return await this.#respondUnserved(last);
    }

    #attemptWithHedge(target: UpstreamView, offer: string | undefined): Promise<Result> {
        const arrival = this.#retries.history.mayHaveArrived ? "retry" : this.plan.arrival;
        const first = this.#createAttempt(target, offer, arrival);
        const afterMs = this.#retries.hedgeAfterMs();
        return runHedged(first, { afterMs, startHedge: () => this.#createHedge(target, afterMs!) });
    }

    #createHedge(overdue: UpstreamView, afterMs: number): Attempt | undefined {
        if (this.#claimed !== undefined || this.#cancel.cancellation.aborted) {
            return undefined;
        }
        overdue.recordOverdue(afterMs, this.deps.clock());
        const target = this.#targets.chooseForHedge();
        if (target === undefined || this.#retries.history.attempted.has(target)) {
            return undefined;
        }
        if (!this.#quota.takeForHedge() || !this.#retries.spendForHedge(afterMs, overdue, target)) {
            return undefined;
        }
        return this.#createAttempt(target, undefined, "hedge");
    }

    #createAttempt(target: UpstreamView, offer: string | undefined, arrival: Arrival): Attempt {
        this.#retries.history.begin(target);
        const untried = this.#retries.history.mayRedirect ? this.#targets.untried(target) : [];
        const attempt: Attempt = new Attempt(target, { offer, arrival }, {
            ingress: this.deps,
            plan: this.plan,
            choices: untried.length,
            nearChoices: untried.filter(other => other.sameHall).length,
            outgoing: this.outgoing,
            log: this.#log,
            requestCancel: this.#cancel.cancellation,
            isDeadlinePassed: () => this.#cancel.isDeadlinePassed,
            presence: this.response.presence,
            claim: () => this.#claim(attempt),
            deliver: response => this.#deliver(response),
        });
        return attempt;
    }

    #claim(attempt: Attempt): boolean {
        this.#claimed ??= attempt;
        return this.#claimed === attempt;
    }

    /**
     * Prepares another attempt: discards the last response, and pulls the newer configuration of a gate that has one.
     */
    async #prepareRetry(result: UnservedResult, target: UpstreamView): Promise<void> {
        this.deps.metrics.countRetry(this.plan.service.name, reasonLabel(result));
        if (result.outcome === "failed") {
            drainResponse(result.response.body);
            return;
        }
        if (result.reason === "stale-rule") {
            this.#retries.history.attempted.delete(target);
            await this.deps.pullConfiguration(result.revision ?? 0, target.settings.gate);
            const plan = this.deps.replan(this.outgoing, this.plan);
            this.#hasRule = plan !== undefined;
            this.plan = plan ?? this.plan;
        }
    }

    #respondWithoutRule(): RequestOutcome {
        const outcome = this.#retries.history.mayHaveRun ? "unknown" : "not-run";
        this.response.sendProblem("no-rule", { outcome, detail: `${this.outgoing.method} ${this.outgoing.path}` });
        return outcome;
    }

    async #respondUnserved(result: UnservedResult): Promise<RequestOutcome> {
        if (result.outcome === "failed") {
            return await this.#respondFailed(result.response);
        }
        const outcome = this.#retries.history.mayHaveRun ? "unknown" : "not-run";
        const { reason: detail, retryAfterMs } = result;
        const problem = decideProblem(result.outcome, detail);
        const problemRetryAfterMs = problem === "no-upstream" ? retryAfterMs ?? unplacedRetryAfterMs : retryAfterMs;
        this.response.sendProblem(problem, { outcome, detail, retryAfterMs: problemRetryAfterMs });
        return outcome;
    }

    /** Passes an upstream's error response on to the caller, since no other attempt follows. */
    async #respondFailed(response: GateResponse): Promise<RequestOutcome> {
        try {
            await this.#deliver(response);
            return "served";
        }
        catch (err) {
            this.#log.responseBroken(err);
            this.response.sendProblem("answer-lost", { outcome: "unknown", detail: "broken-answer" });
            return "unknown";
        }
    }

    #deliver(response: GateResponse): Promise<void> {
        if (this.plan.rule.answer === "streamed") {
            this.#cancel.clearDeadline();
        }
        return this.response.deliver(response, this.plan);
    }
}
