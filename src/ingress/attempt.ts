/** One try of a request at one upstream. */
import type { GateAnswer } from "../hop/gateanswer.js";
import { HopError } from "../hop/hoperror.js";
import { abandonBody } from "../http/abandonbody.js";
import { Cancel } from "../http/cancel.js";
import { httpStatus } from "../http/httpstatus.js";
import type { RequestId } from "../ids/requestid.js";
import { log } from "../log/log.js";
import type { CallHead } from "../wire/callhead.js";
import type { AttemptResult } from "./attemptresult.js";
import type { IngressParts } from "./ingressparts.js";
import { maxWaitMs } from "./maxwaitms.js";
import type { Neighbour } from "./neighbour.js";
import type { Outgoing } from "./outgoing.js";
import type { Plan } from "./plan.js";

const REDIRECTS: ReadonlySet<string> = new Set([
    "handed-back",
    "slow",
    "busy",
    "leaving",
    "incarnation",
    "no-such-upstream",
    "stale-rule",
]);
const UNREACHABLE: ReadonlySet<string> = new Set(["unreachable", "peer-broke"]);

const logger = log("ingress");

/** What the exchange lends to a try. */
type AttemptParts = {
    readonly ingress: IngressParts;
    readonly plan: Plan;
    /** Other upstreams that the request could still go to, and those of them in this data hall. */
    readonly choices: number;
    readonly nearChoices: number;
    readonly out: Outgoing;
    /** Aborts when the caller has left or the time is up. */
    readonly left: Cancel;
    readonly deadlinePassed: () => boolean;
    /** False when another try has answered already. */
    readonly claim: () => boolean;
    /** Sends an answer to the caller; rejects only while nothing has been sent. */
    readonly deliver: (answer: GateAnswer) => Promise<void>;
};

/** Sends the request once and turns whatever comes of it into a AttemptResult. */
export class Attempt {
    readonly #giveUp = new Cancel();
    readonly #head: CallHead;

    constructor(
        private readonly neighbour: Neighbour,
        offer: string | undefined,
        private readonly parts: AttemptParts,
    ) {
        const { ingress, plan, choices, nearChoices } = parts;
        this.#head = {
            id: ingress.newId() as RequestId,
            upstream: neighbour.upstream,
            kind: plan.kind,
            priority: plan.rule.priority,
            tenant: plan.rule.tenant,
            answer: plan.rule.answer,
            remainingMs: Math.max(0, plan.deadline - ingress.clock()),
            maxWaitMs: maxWaitMs(plan, ingress.clock()),
            depth: plan.depth,
            revision: ingress.revision(),
            choices,
            nearChoices,
            offer,
            from: ingress.from,
        };
    }

    /** Gives the try up, since another has answered. */
    cancel(): void {
        this.#giveUp.abort();
    }

    async run(): Promise<AttemptResult> {
        const { neighbour } = this;
        const { ingress, plan, left } = this.parts;
        const forget = left.onAbort(() => this.#giveUp.abort());
        const abandonable = plan.kind === "repeatable" ? this.#giveUp : undefined;
        neighbour.begin(ingress.clock(), abandonable);
        try {
            return await this.#send();
        }
        catch (err) {
            return await this.#explain(err);
        }
        finally {
            neighbour.end(abandonable);
            forget();
        }
    }

    async #send(): Promise<AttemptResult> {
        const { neighbour } = this;
        const { ingress, plan, out, left, deliver } = this.parts;
        if (left.aborted) {
            throw new HopError("not-run", "deadline");
        }
        const sentAt = ingress.clock();
        const { method, path, headers, body } = out;
        logger.decision(out.id, "The request is placed.", {
            try: this.#head.id,
            upstream: neighbour.upstream,
            near: neighbour.near,
            own: neighbour.own,
            report: neighbour.report,
            reportAgeMs: neighbour.report === undefined ? undefined : Math.round(sentAt - neighbour.reportAt),
            choices: this.parts.choices,
            remainingMs: Math.round(this.#head.remainingMs),
        });
        const cancel = this.#giveUp;
        const answer = await neighbour.hop.send({
            head: this.#head,
            rule: plan.rule.name,
            method,
            path,
            headers,
            body: body.content,
            cancel,
        });
        const now = ingress.clock();
        neighbour.answered(answer.note, now - sentAt, now);
        if (answer.status >= httpStatus.internalServerError) {
            return this.#failed(answer);
        }
        ingress.retries(plan.service.name).hedging.observe(now - sentAt, answer.note?.calls === true);
        if (!this.parts.claim()) {
            abandonBody(answer.body);
            return { outcome: "unknown", reason: "overtaken", redirected: false, retriedBelow: false };
        }
        await deliver(answer);
        neighbour.succeeded();
        ingress.retries(plan.service.name).budget.earn(plan.service.retryRatio);
        return { outcome: "served", reason: "", redirected: false, retriedBelow: false };
    }

    #failed(answer: GateAnswer): AttemptResult {
        this.neighbour.failed(this.parts.ingress.clock());
        const retriedBelow = answer.note?.retriedBelow === true;
        return { outcome: "failed", reason: `status-${answer.status}`, answer, redirected: false, retriedBelow };
    }

    /** Turns an error into what is known of the request. */
    async #explain(err: unknown): Promise<AttemptResult> {
        const { neighbour } = this;
        const now = this.parts.ingress.clock();
        if (!(err instanceof HopError)) {
            neighbour.failed(now);
            const reason = this.parts.deadlinePassed() ? "deadline" : "broken-answer";
            return { outcome: "unknown", reason, redirected: false, retriedBelow: false };
        }
        const { note, reason, outcome } = err;
        if (note !== undefined) {
            neighbour.heard(now);
            neighbour.observe(note.report, now);
        }
        if (reason === "shed") {
            neighbour.failed(now);
        }
        if (reason === "leaving") {
            neighbour.leaves(now);
        }
        if (reason === "no-such-upstream") {
            neighbour.isAbsent(now);
        }
        if (outcome === "broken") {
            return await this.#settle();
        }
        if (UNREACHABLE.has(reason)) {
            neighbour.suspect(now);
        }
        const { retryAfterMs, goTo, offer, revision } = note ?? {};
        const redirected = REDIRECTS.has(reason);
        return { outcome, reason, retryAfterMs, goTo, offer, revision, redirected, retriedBelow: false };
    }

    /** No word came. A repeatable request needs none; the gate is asked to take back one that may run once. */
    async #settle(): Promise<AttemptResult> {
        const { ingress, plan, left, deadlinePassed } = this.parts;
        const reason = deadlinePassed() ? "deadline" : "peer-broke";
        const base = { reason, redirected: false, retriedBelow: false };
        if (!left.aborted && !this.#giveUp.aborted) {
            this.neighbour.suspect(ingress.clock());
        }
        if (plan.kind === "repeatable") {
            return { outcome: "unknown", ...base };
        }
        const result = await this.neighbour.hop.revoke(this.#head);
        return { outcome: result === "revoked" ? "not-run" : "unknown", ...base };
    }
}
