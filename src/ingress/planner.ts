/** Plans a caller's request before an upstream is chosen: finds its rule and computes its deadline and depth. */
import type { IncomingMessage } from "node:http";
import type { Dialect } from "../dialect/dialect.js";
import type { CallContexts } from "../gate/callcontexts.js";
import { maxDepth } from "../policy/admission/maxdepth.js";
import { requestDeadline } from "../policy/admission/requestdeadline.js";
import { unplacedRetryAfterMs } from "../policy/admission/unplacedretryafterms.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { MatchedRule } from "../policy/routing/matchedrule.js";
import type { RequestTarget } from "../policy/routing/requesttarget.js";
import { SplitSampler } from "../policy/routing/splitsampler.js";
import type { Plan } from "./plan.js";
import type { RequestLog } from "./requestlog.js";
import type { RequestRefusal } from "./requestrefusal.js";
import { timeLimitOf } from "./timelimitof.js";

/** Components of the daemon that the planner uses. */
type PlannerDependencies = {
    readonly dialect: Dialect;
    readonly contexts: CallContexts;
    readonly random: RandomSource;
    /** Returns the revision of the configuration, or 0 while none is known. */
    readonly revision: () => number;
    /** Returns the rule for a request, or undefined if none matches. */
    readonly findRule: (target: RequestTarget, sample: number) => MatchedRule | undefined;
};

type Parent = NonNullable<ReturnType<CallContexts["findByToken"]>>;

/** Gathers the inputs of each plan; the decisions are made in src/policy/routing and src/policy/admission. */
export class Planner {
    readonly #splitSamples: SplitSampler;

    constructor(private readonly deps: PlannerDependencies) {
        this.#splitSamples = new SplitSampler(deps.random);
    }

    /** Returns the plan for a request, or the refusal to send; `startedAt` is in milliseconds on the daemon's clock. */
    plan(req: IncomingMessage, path: string, startedAt: number, log: RequestLog): Plan | RequestRefusal {
        const { revision } = this.deps;
        if (revision() === 0) {
            log.noConfiguration();
            return { type: "refusal", problem: "not-ready", detail: "", retryAfterMs: unplacedRetryAfterMs };
        }
        const { method = "GET", headers: { host } } = req;
        const { sample, matched } = this.#match({ method, host, path });
        if (matched === undefined) {
            log.noRuleMatched(host, path, revision());
            return { type: "refusal", problem: "no-rule", detail: `${method} ${path}` };
        }
        const parent = this.parentOf(req);
        const { name } = matched.service;
        parent?.calls.set(name, (parent.calls.get(name) ?? 0) + 1);
        const depth = parent === undefined ? 0 : parent.depth + 1;
        if (depth > maxDepth) {
            return { type: "refusal", problem: "too-deep", detail: `depth ${depth}` };
        }
        return {
            type: "plan",
            ...matched,
            team: matched.rule.tenant,
            priority: matched.rule.priority,
            splitSample: sample,
            startedAt,
            deadline: this.#deadline(req, matched, parent, startedAt),
            depth,
            arrival: parent?.isRepeat === true ? "call" : "first",
        };
    }

    /** Returns the rule that matches, and the sample that selected the part of its split. */
    #match(target: RequestTarget): { readonly sample: number; readonly matched: MatchedRule | undefined; } {
        const { findRule } = this.deps;
        const matched = findRule(target, 0);
        if (matched?.rule.split === undefined) {
            return { sample: 0, matched };
        }
        const sample = this.#splitSamples.next(matched.rule.name);
        return { sample, matched: findRule(target, sample) };
    }

    /** Returns the request during which a local upstream makes this call, or undefined if it is not such a call. */
    parentOf(req: IncomingMessage): Parent | undefined {
        const { dialect, contexts } = this.deps;
        const token = req.headers[dialect.context] as string | undefined;
        return contexts.findByToken(token) ?? contexts.findByRequest(dialect.parentOf(req.headers));
    }

    /**
     * Marks the parent of a failed request as retried below, so that retries do not multiply along a chain of calls.
     */
    reportFailureToParent(req: IncomingMessage): void {
        const parent = this.parentOf(req);
        if (parent !== undefined) {
            parent.retriedBelow = true;
        }
    }

    #deadline(req: IncomingMessage, { rule }: MatchedRule, parent: Parent | undefined, startedAt: number): number {
        const { callerTimeLimit } = this.deps.dialect;
        const header = callerTimeLimit === undefined ? undefined : req.headers[callerTimeLimit];
        const callerLimitMs = timeLimitOf(header);
        const parentDeadline = parent?.deadline;
        return requestDeadline({ ruleLimitMs: rule.timeLimitMs, callerLimitMs, parentDeadline }, startedAt);
    }
}
