/**
 * One attempt of a request at one upstream.
 *
 * Sends the request, records at the upstream's view what came of it, and returns a result. What a reason means stands in
 * policy/retry/reasons.ts.
 */
import type { GateAnswer } from "../hop/gateanswer.js";
import { HopError } from "../hop/hoperror.js";
import { abandonBody } from "../http/abandonbody.js";
import { Cancel } from "../http/cancel.js";
import { httpStatus } from "../http/httpstatus.js";
import type { RequestId } from "../ids/requestid.js";
import { maxWait } from "../policy/admission/maxwait.js";
import type { Arrival } from "../policy/retry/arrival.js";
import type { AttemptResult } from "../policy/retry/attemptresult.js";
import type { Reason } from "../policy/retry/reason.js";
import { reasons } from "../policy/retry/reasons.js";
import type { CallHead } from "../wire/callhead.js";
import type { IngressParts } from "./ingressparts.js";
import type { Outgoing } from "./outgoing.js";
import type { Plan } from "./plan.js";
import type { RequestLog } from "./requestlog.js";
import type { UpstreamView } from "./upstreamview.js";

/** What the request lends to an attempt. */
type AttemptParts = {
    readonly ingress: IngressParts;
    readonly plan: Plan;
    /** Other upstreams that the request could still go to, and those of them in this data hall. */
    readonly choices: number;
    readonly nearChoices: number;
    readonly out: Outgoing;
    readonly log: RequestLog;
    /** Aborts when the caller has gone or the deadline has passed. */
    readonly ended: Cancel;
    readonly isDeadlinePassed: () => boolean;
    /** False when another attempt has answered already. */
    readonly claim: () => boolean;
    /** Sends an answer to the caller; rejects only while nothing has been sent. */
    readonly deliver: (answer: GateAnswer) => Promise<void>;
};

type Result = AttemptResult<GateAnswer>;

/** Never rejects: whatever comes of the attempt is a result. */
export class Attempt {
    readonly #cancel = new Cancel();
    readonly #head: CallHead;

    constructor(
        private readonly target: UpstreamView,
        { offer, arrival }: { readonly offer: string | undefined; readonly arrival: Arrival; },
        private readonly parts: AttemptParts,
    ) {
        const { ingress, plan, choices, nearChoices } = parts;
        const { rule, service, startedAt, depth } = plan;
        const { maxWaitMs: serviceMaxWaitMs } = service;
        const now = ingress.clock();
        this.#head = {
            id: ingress.newId() as RequestId,
            upstream: target.upstream,
            kind: plan.kind,
            priority: rule.priority,
            team: rule.tenant,
            answer: rule.answer,
            remainingMs: Math.max(0, plan.deadline - now),
            maxWaitMs: maxWait({ serviceMaxWaitMs, targetMs: rule.targetMs, startedAt, depth }, now),
            depth,
            revision: ingress.revision(),
            choices,
            nearChoices,
            offer,
            from: ingress.from,
            arrival,
            limitPerSecond: target.limitPerSecond,
        };
    }

    /** Gives the attempt up, since another has answered. */
    cancel(): void {
        this.#cancel.abort();
    }

    async run(): Promise<Result> {
        const { target } = this;
        const { ingress, plan, ended } = this.parts;
        const forget = ended.onAbort(() => this.#cancel.abort());
        const abandonable = plan.kind === "repeatable" ? this.#cancel : undefined;
        target.attemptStarted(ingress.clock(), abandonable);
        try {
            return await this.#send();
        }
        catch (err) {
            return await this.#explain(err);
        }
        finally {
            target.attemptEnded(abandonable);
            forget();
        }
    }

    async #send(): Promise<Result> {
        const { target } = this;
        const { ingress, plan, out, ended } = this.parts;
        if (ended.aborted) {
            throw new HopError("not-run", "deadline");
        }
        const sentAt = ingress.clock();
        this.parts.log.placed(target, this.#head, sentAt);
        const { method, path, headers, body } = out;
        const answer = await target.hop.send({
            head: this.#head,
            rule: plan.rule.name,
            method,
            path,
            headers,
            body: body.content,
            cancel: this.#cancel,
        });
        const now = ingress.clock();
        target.recordAnswer(answer.note, now - sentAt, now);
        if (answer.status >= httpStatus.internalServerError) {
            target.recordFailure(now);
            const { status, note } = answer;
            return { outcome: "failed", answer, status, retriedBelow: note?.retriedBelow === true };
        }
        ingress.retries(plan.service).hedging.observe(now - sentAt, answer.note?.calls === true);
        return await this.#deliver(answer);
    }

    async #deliver(answer: GateAnswer): Promise<Result> {
        const { claim, deliver } = this.parts;
        if (!claim()) {
            abandonBody(answer.body);
            return { outcome: "unknown", reason: "overtaken" };
        }
        await deliver(answer);
        this.target.recordSuccess();
        return { outcome: "served" };
    }

    /** Turns an error into what is known of the request, and records what it says of the upstream. */
    async #explain(err: unknown): Promise<Result> {
        const { target } = this;
        const now = this.parts.ingress.clock();
        if (!(err instanceof HopError)) {
            this.parts.log.brokeOff(err, target);
            target.recordFailure(now);
            return { outcome: "unknown", reason: this.#lateOr("broken-answer") };
        }
        const { note, reason, outcome } = err;
        if (note !== undefined) {
            target.recordRefusalNote(note, now);
        }
        if (outcome === "broken") {
            return await this.#settle();
        }
        target.recordRefusal(reasons[reason].upstream, now);
        const { retryAfterMs, goTo, offer, revision, arrived } = note ?? {};
        return { outcome, reason, arrived, retryAfterMs, goTo, offer, revision };
    }

    /** No answer came. A repeatable request needs none; the gate is asked to revoke one that may run once. */
    async #settle(): Promise<Result> {
        const { ingress, plan, ended } = this.parts;
        const reason = this.#lateOr("peer-broke");
        if (!ended.aborted && !this.#cancel.aborted) {
            this.target.suspect(ingress.clock());
        }
        if (plan.kind === "repeatable") {
            return { outcome: "unknown", reason };
        }
        const result = await this.target.hop.revoke(this.#head);
        return { outcome: result === "revoked" ? "not-run" : "unknown", reason };
    }

    #lateOr(reason: Reason): Reason {
        return this.parts.isDeadlinePassed() ? "deadline" : reason;
    }
}
