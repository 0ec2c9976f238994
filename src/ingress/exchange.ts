/** One caller's request, from its plan to its answer. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallHead } from "../hop/callhead.js";
import { HopError } from "../hop/hoperror.js";
import type { HttpHeaders } from "../hop/httpheaders.js";
import type { RequestId } from "../ids/requestid.js";
import { decideRetry } from "../policy/decideretry.js";
import { deliver } from "./deliver.js";
import type { IngressParts } from "./ingressparts.js";
import type { Neighbour } from "./neighbour.js";
import type { Plan } from "./plan.js";
import type { ProblemType } from "./problemtype.js";
import type { readBody } from "./requestbody.js";
import { selectFit } from "./selectfit.js";
import { sendProblem } from "./sendproblem.js";
import type { Trial } from "./trial.js";

const FAILED_STATUS = 500;
const REDIRECTS: ReadonlySet<string> = new Set(["handed-back", "leaving", "incarnation", "no-such-upstream"]);
const UNREACHABLE: ReadonlySet<string> = new Set(["unreachable", "peer-broke", "silent"]);
const DEADLINE_REASONS: ReadonlySet<string> = new Set(["deadline", "deadline-or-revoked", "ledger-expired"]);

const problemOf = (trial: Trial): ProblemType => {
    if (trial.outcome !== "not-run") {
        return DEADLINE_REASONS.has(trial.reason) ? "deadline" : "answer-lost";
    }
    if (DEADLINE_REASONS.has(trial.reason)) {
        return "deadline";
    }
    if (trial.reason === "no-upstream" || trial.reason === "leaving") {
        return "no-upstream";
    }
    return UNREACHABLE.has(trial.reason) ? "unreachable" : "overloaded";
};

/** The request as it goes to every try. */
type Outgoing = {
    readonly headers: HttpHeaders;
    readonly path: string;
    readonly body: Awaited<ReturnType<typeof readBody>>;
};

/** Owns the answer to the caller: tries, retries, and says the outcome. */
export class Exchange {
    readonly #tried = new Set<Neighbour>();
    readonly #left = new AbortController();
    #tries = 0;
    #redirects = 0;
    #deadlinePassed = false;

    constructor(
        private readonly req: IncomingMessage,
        private readonly res: ServerResponse,
        private readonly plan: Plan,
        private readonly out: Outgoing,
        private readonly parts: IngressParts,
    ) {}

    /** Serves the request; resolves with the outcome that the caller was told. */
    async run(): Promise<"served" | "not-run" | "unknown" | "left"> {
        const onClose = (): void => this.#left.abort();
        this.res.on("close", onClose);
        const timer = setTimeout(() => {
            this.#deadlinePassed = true;
            this.#left.abort();
        }, this.plan.deadline - this.parts.clock());
        try {
            return await this.#tryUntilSettled(timer);
        }
        finally {
            clearTimeout(timer);
            this.res.removeListener("close", onClose);
        }
    }

    async #tryUntilSettled(timer: NodeJS.Timeout): Promise<"served" | "not-run" | "unknown" | "left"> {
        let directed: Trial | undefined;
        for (;;) {
            const neighbour = this.#place(directed);
            const trial = neighbour === undefined ? NO_UPSTREAM : await this.#try(neighbour, directed?.offer, timer);
            if (trial.outcome === "served") {
                return this.res.destroyed && !this.res.writableFinished ? "left" : "served";
            }
            if (this.res.destroyed) {
                return "left";
            }
            if (neighbour === undefined || !this.#mayRetry(trial)) {
                return this.#conclude(trial, timer);
            }
            this.parts.metrics.retried(this.plan.service.name, trial.reason);
            trial.answer?.body.resume();
            directed = trial;
        }
    }

    #place(directed: Trial | undefined): Neighbour | undefined {
        const { neighbours, placement, random, clock } = this.parts;
        const now = clock();
        const all = neighbours.ofService(this.plan.service.name);
        const named = all.find(neighbour => neighbour.upstream === directed?.goTo);
        if (named !== undefined) {
            return named;
        }
        const fit = selectFit(all, this.#tried, now);
        return placement.choose(fit, now, random) as Neighbour | undefined;
    }

    #mayRetry(trial: Trial): boolean {
        this.#redirects += trial.redirected ? 1 : 0;
        return decideRetry({
            outcome: trial.outcome as "not-run",
            kind: this.plan.kind,
            tries: this.#tries - this.#redirects,
            remainingMs: this.plan.deadline - this.parts.clock(),
            bodyKept: this.out.body.kept,
            retriedBelow: trial.retriedBelow,
            redirected: trial.redirected,
            redirects: this.#redirects,
        }, this.parts.budget(this.plan.service.name));
    }

    async #conclude(trial: Trial, timer: NodeJS.Timeout): Promise<"served" | "not-run" | "unknown" | "left"> {
        if (trial.answer !== undefined) {
            return await this.#pass(trial, timer);
        }
        const outcome = trial.outcome === "not-run" ? "not-run" : "unknown";
        const detail = trial.reason;
        sendProblem(this.res, problemOf(trial), { outcome, detail, retryAfterMs: trial.retryAfterMs });
        return outcome;
    }

    /** Passes on an answer that says that the request failed, when there is no more to try. */
    async #pass(trial: Trial, timer: NodeJS.Timeout): Promise<"served" | "unknown"> {
        try {
            await this.#deliver(trial.answer!, timer);
            return "served";
        }
        catch {
            sendProblem(this.res, "answer-lost", { outcome: "unknown", detail: "broken-answer" });
            return "unknown";
        }
    }

    async #try(neighbour: Neighbour, offer: string | undefined, timer: NodeJS.Timeout): Promise<Trial> {
        const { clock } = this.parts;
        const head = this.#head(neighbour, offer);
        const giveUp = new AbortController();
        const onLeft = (): void => giveUp.abort();
        this.#left.signal.addEventListener("abort", onLeft, { once: true });
        this.#tries += 1;
        this.#tried.add(neighbour);
        const sentAt = clock();
        const abandonable = this.plan.kind === "repeatable" ? giveUp : undefined;
        neighbour.begin(sentAt, abandonable);
        try {
            if (this.#left.signal.aborted) {
                throw new HopError("not-run", "deadline");
            }
            const answer = await neighbour.hop.send({
                head,
                method: this.req.method ?? "GET",
                path: this.out.path,
                headers: this.out.headers,
                body: this.out.body.content,
                signal: giveUp.signal,
            });
            const now = clock();
            neighbour.answered(answer.note, now - sentAt, now);
            if (answer.status >= FAILED_STATUS) {
                return this.#failed(neighbour, answer);
            }
            await this.#deliver(answer, timer);
            neighbour.succeeded();
            this.parts.budget(this.plan.service.name).earn(this.plan.service.retryRatio);
            return { outcome: "served", reason: "", redirected: false, retriedBelow: false };
        }
        catch (err) {
            return await this.#explain(err, neighbour, head);
        }
        finally {
            neighbour.end(abandonable);
            this.#left.signal.removeEventListener("abort", onLeft);
        }
    }

    #failed(neighbour: Neighbour, answer: NonNullable<Trial["answer"]>): Trial {
        neighbour.failed();
        const retriedBelow = answer.note?.retriedBelow === true;
        answer.body.on("error", () => {});
        return { outcome: "failed", reason: `status-${answer.status}`, answer, redirected: false, retriedBelow };
    }

    #deliver(answer: NonNullable<Trial["answer"]>, timer: NodeJS.Timeout): Promise<void> {
        const whole = this.plan.rule.answer === "whole";
        if (!whole) {
            clearTimeout(timer);
        }
        return deliver(this.res, answer, whole, this.req.method === "HEAD", this.plan.service.bufferBytes);
    }

    /** Turns a try that brought no answer into what is known of it. */
    async #explain(err: unknown, neighbour: Neighbour, head: CallHead): Promise<Trial> {
        const now = this.parts.clock();
        if (!(err instanceof HopError)) {
            neighbour.failed();
            const reason = this.#deadlinePassed ? "deadline" : "broken-answer";
            return { outcome: "unknown", reason, redirected: false, retriedBelow: false };
        }
        const { note, reason } = err;
        if (note !== undefined) {
            neighbour.heard(now);
            neighbour.observe(note.report, now);
        }
        if (reason === "leaving") {
            neighbour.leaves(now);
        }
        if (err.outcome === "broken") {
            return await this.#settle(neighbour, head);
        }
        if (UNREACHABLE.has(reason)) {
            neighbour.suspect(now);
        }
        return {
            outcome: err.outcome,
            reason,
            retryAfterMs: note?.retryAfterMs,
            goTo: note?.goTo,
            offer: note?.offer,
            redirected: REDIRECTS.has(reason),
            retriedBelow: false,
        };
    }

    /** No word came. A repeatable request needs none; the gate is asked to take back one that may run once. */
    async #settle(neighbour: Neighbour, head: CallHead): Promise<Trial> {
        const now = this.parts.clock();
        const reason = this.#deadlinePassed ? "deadline" : "peer-broke";
        const base = { reason, redirected: false, retriedBelow: false };
        if (!this.#left.signal.aborted) {
            neighbour.suspect(now);
        }
        if (this.plan.kind === "repeatable") {
            return { outcome: "unknown", ...base };
        }
        const result = await neighbour.hop.revoke(head);
        return { outcome: result === "revoked" ? "not-run" : "unknown", ...base };
    }

    #head(neighbour: Neighbour, offer: string | undefined): CallHead {
        const { plan, parts } = this;
        return {
            id: parts.newId() as RequestId,
            upstream: neighbour.upstream,
            kind: plan.kind,
            priority: plan.rule.priority,
            tenant: plan.rule.tenant,
            answer: plan.rule.answer,
            remainingMs: Math.max(0, plan.deadline - parts.clock()),
            maxWaitMs: plan.service.maxWaitMs,
            depth: plan.depth,
            revision: parts.revision(),
            offer,
            from: parts.from,
        };
    }
}

const NO_UPSTREAM: Trial = { outcome: "not-run", reason: "no-upstream", redirected: false, retriedBelow: false };
