/**
 * Makes one attempt of a request at one upstream.
 *
 * Sends the request, records the outcome in the upstream's view, and returns a result. policy/retry/reasons.ts defines
 * the effect of each reason.
 */
import type { GateResponse } from "../hop/gateresponse.js";
import { HopError } from "../hop/hoperror.js";
import { Cancellation } from "../http/cancellation.js";
import { destroyBody } from "../http/destroybody.js";
import { httpStatus } from "../http/httpstatus.js";
import type { RequestId } from "../ids/requestid.js";
import { maxWait } from "../policy/admission/maxwait.js";
import type { Arrival } from "../policy/retry/arrival.js";
import type { AttemptResult } from "../policy/retry/attemptresult.js";
import type { Reason } from "../policy/retry/reason.js";
import { reasons } from "../policy/retry/reasons.js";
import type { RequestMetadata } from "../wire/requestmetadata.js";
import type { CallerPresence } from "./callerpresence.js";
import type { IngressDependencies } from "./ingressdependencies.js";
import type { OutgoingRequest } from "./outgoingrequest.js";
import type { Plan } from "./plan.js";
import type { RequestLog } from "./requestlog.js";
import type { UpstreamView } from "./upstreamview.js";

/** Dependencies that the request handler provides. */
type AttemptDependencies = {
    readonly ingress: IngressDependencies;
    readonly plan: Plan;
    /** The number of other upstreams that the request could still go to. */
    readonly choices: number;
    /** The number of those in this daemon's data hall. */
    readonly nearChoices: number;
    readonly outgoing: OutgoingRequest;
    readonly log: RequestLog;
    /** Aborts when the caller has left or the deadline has passed. */
    readonly requestCancel: Cancellation;
    readonly isDeadlinePassed: () => boolean;
    /** Claims the response to the caller for this attempt; returns false if another attempt has claimed it. */
    readonly claim: () => boolean;
    /** Whether the caller is still there. */
    readonly presence: CallerPresence;
    /** Sends a response to the caller; rejects only if nothing has been sent yet. */
    readonly deliver: (response: GateResponse) => Promise<void>;
};

type Result = AttemptResult<GateResponse>;

/** `run` never rejects: every way in which the attempt can end is a result. */
export class Attempt {
    readonly #cancel = new Cancellation();
    readonly #head: RequestMetadata;

    constructor(
        private readonly target: UpstreamView,
        { offer, arrival }: { readonly offer: string | undefined; readonly arrival: Arrival; },
        private readonly deps: AttemptDependencies,
    ) {
        const { ingress, plan, choices, nearChoices } = deps;
        const { rule, service, startedAt, depth } = plan;
        const { maxWaitMs: serviceMaxWaitMs } = service;
        const now = ingress.clock();
        this.#head = {
            id: ingress.newRequestId() as RequestId,
            upstream: target.upstream,
            kind: plan.kind,
            priority: plan.priority,
            team: plan.team,
            answer: rule.answer,
            remainingMs: Math.max(0, plan.deadline - now),
            maxWaitMs: maxWait({ serviceMaxWaitMs, targetMs: rule.targetMs, startedAt, depth }, now),
            depth,
            revision: ingress.revision(),
            choices,
            nearChoices,
            offer,
            from: ingress.peerAddress,
            arrival,
            limitPerSecond: target.limitPerSecond,
        };
    }

    /** Cancels the attempt, since another one was served. */
    cancel(): void {
        this.#cancel.abort();
    }

    async run(): Promise<Result> {
        const { target } = this;
        const { ingress, plan, requestCancel } = this.deps;
        const unsubscribe = requestCancel.onAbort(() => this.#cancel.abort());
        const cancellable = plan.kind === "repeatable" ? this.#cancel : undefined;
        target.attemptStarted(ingress.clock(), cancellable);
        try {
            return await this.#send();
        }
        catch (err) {
            return await this.#resultOfError(err);
        }
        finally {
            target.attemptEnded(cancellable);
            unsubscribe();
        }
    }

    async #send(): Promise<Result> {
        const { target } = this;
        const { ingress, plan, outgoing, requestCancel, presence } = this.deps;
        await presence.settle(ingress.clock());
        if (requestCancel.aborted) {
            throw new HopError("not-run", "deadline");
        }
        const sentAt = ingress.clock();
        this.deps.log.attemptSent(target, this.#head, sentAt);
        const { method, path, headers, body } = outgoing;
        const response = await target.hop.send({
            head: this.#head,
            rule: plan.rule.name,
            method,
            path,
            headers,
            body: body.content,
            cancel: this.#cancel,
            settleCancel: now => presence.settle(now),
        });
        const now = ingress.clock();
        target.recordResponse(response.metadata, now - sentAt, now);
        if (response.status >= httpStatus.internalServerError) {
            target.recordFailure(now);
            const { status, metadata } = response;
            return { outcome: "failed", response, status, retriedBelow: metadata?.retriedBelow === true };
        }
        ingress.retries(plan.service).hedgeDelay.observe(now - sentAt, response.metadata?.calls === true);
        return await this.#deliver(response);
    }

    async #deliver(response: GateResponse): Promise<Result> {
        const { claim, deliver } = this.deps;
        if (!claim()) {
            destroyBody(response.body);
            return { outcome: "unknown", reason: "overtaken" };
        }
        await deliver(response);
        this.target.recordSuccess();
        return { outcome: "served" };
    }

    /** Returns the result for an error, and records its effect in the upstream's view. */
    async #resultOfError(err: unknown): Promise<Result> {
        const { target } = this;
        const now = this.deps.ingress.clock();
        if (!(err instanceof HopError)) {
            this.deps.log.responseBroken(err, target);
            target.recordFailure(now);
            return { outcome: "unknown", reason: this.#deadlineOr("broken-answer") };
        }
        const { metadata, reason, outcome } = err;
        if (metadata !== undefined) {
            target.recordRefusalMetadata(metadata, now);
        }
        if (outcome === "broken") {
            return await this.#resultWithoutResponse();
        }
        target.recordRefusal(reasons[reason].upstreamEffect, now);
        const { retryAfterMs, goTo, offer, revision, arrived } = metadata ?? {};
        return { outcome, reason, arrived, retryAfterMs, goTo, offer, revision };
    }

    /**
     * Returns the result of an attempt without a response. A request that may run only once is revoked at the gate, so
     * that it is known whether it has run; a repeatable one can be sent again either way.
     */
    async #resultWithoutResponse(): Promise<Result> {
        const { ingress, plan, requestCancel } = this.deps;
        const reason = this.#deadlineOr("peer-broke");
        if (!requestCancel.aborted && !this.#cancel.aborted) {
            this.target.suspect(ingress.clock());
        }
        if (plan.kind === "repeatable") {
            return { outcome: "unknown", reason };
        }
        const result = await this.target.hop.revoke(this.#head);
        return { outcome: result === "revoked" ? "not-run" : "unknown", reason };
    }

    /** Returns `deadline` if the request's deadline has passed, otherwise the reason given. */
    #deadlineOr(reason: Reason): Reason {
        return this.deps.isDeadlinePassed() ? "deadline" : reason;
    }
}
