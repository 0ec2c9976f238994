/** Plans a caller's request before an upstream is chosen: finds its rule and computes its deadline and depth. */
import type { IncomingMessage } from "node:http";
import type { Document } from "../config/document.js";
import type { Dialect } from "../dialect/dialect.js";
import { presentedKeyOf } from "../dialect/presentedkeyof.js";
import type { CallContexts } from "../gate/callcontexts.js";
import type { AccessDecision } from "../policy/access/accessdecision.js";
import type { AccessRefusalReason } from "../policy/access/accessrefusalreason.js";
import { decideAccess } from "../policy/access/decideaccess.js";
import type { PresentedKey } from "../policy/access/presentedkey.js";
import { staleRetryAfterMs } from "../policy/access/staleretryafterms.js";
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
    /** Returns the configuration, of revision 0 while none is known. */
    readonly document: () => Document;
    /** Returns the milliseconds since the configuration was last known to be the newest. */
    readonly configurationAgeMs: () => number;
    /** Age of the configuration from which on keyed requests are refused; undefined if revocation is not strict. */
    readonly keyedAgeLimitMs: number | undefined;
    /** Called for each request that is refused because of its key. */
    readonly onAccessRefused: (reason: AccessRefusalReason) => void;
    /** Returns the rule for a request, or undefined if none matches. */
    readonly findRule: (target: RequestTarget, sample: number) => MatchedRule | undefined;
};

type Refused = Extract<AccessDecision, { type: "refused"; }>;
type Parent = NonNullable<ReturnType<CallContexts["findByToken"]>>;

/** Gathers the inputs of each plan; the decisions are made in src/policy/routing and src/policy/admission. */
export class Planner {
    readonly #splitSamples: SplitSampler;

    constructor(private readonly deps: PlannerDependencies) {
        this.#splitSamples = new SplitSampler(deps.random);
    }

    /** Returns the plan for a request, or the refusal to send; `startedAt` is in milliseconds on the daemon's clock. */
    plan(req: IncomingMessage, path: string, startedAt: number, log: RequestLog): Plan | RequestRefusal {
        const { revision } = this.deps.document();
        if (revision === 0) {
            log.noConfiguration();
            return { type: "refusal", problem: "not-ready", detail: "", retryAfterMs: unplacedRetryAfterMs };
        }
        const { method = "GET", headers: { host } } = req;
        const { sample, matched } = this.#match({ method, host, path });
        if (matched === undefined) {
            log.noRuleMatched(host, path, revision);
            return { type: "refusal", problem: "no-rule", detail: `${method} ${path}` };
        }
        const parent = this.parentOf(req);
        if (parent === undefined && this.#isOfCancelledRun(req)) {
            log.runCancelled();
            return { type: "refusal", problem: "deadline", detail: "caller-left" };
        }
        const key = this.#keyOf(req);
        const access = this.#decideAccess(matched, key, parent);
        if (access.type === "refused") {
            return this.#refuse(access, key, matched, log);
        }
        const { name } = matched.service;
        parent?.calls.set(name, (parent.calls.get(name) ?? 0) + 1);
        const depth = parent === undefined ? 0 : parent.depth + 1;
        if (depth > maxDepth) {
            return { type: "refusal", problem: "too-deep", detail: `depth ${depth}` };
        }
        return {
            type: "plan",
            ...matched,
            team: access.team,
            priority: access.priority,
            identity: access.identity,
            regions: access.regions,
            splitSample: sample,
            startedAt,
            deadline: this.#deadline(req, matched, parent, startedAt),
            runCancel: parent?.cancel,
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

    /**
     * Returns the request during which a local upstream makes this call, or undefined if it is not such a call. Where
     * keys are checked, a request with a key is no call: upstreams have no keys.
     */
    parentOf(req: IncomingMessage): Parent | undefined {
        const { dialect, contexts } = this.deps;
        if (this.#isExternal(req)) {
            return undefined;
        }
        const token = req.headers[dialect.context] as string | undefined;
        return contexts.findByToken(token) ?? contexts.findByRequests(dialect.parentIdsOf(req.headers));
    }

    /** Returns true if a local upstream made this call during a run whose caller has left, or whose deadline has passed. */
    #isOfCancelledRun(req: IncomingMessage): boolean {
        const { dialect, contexts } = this.deps;
        const token = req.headers[dialect.context] as string | undefined;
        return !this.#isExternal(req) && contexts.wasCancelled(token, dialect.parentIdsOf(req.headers));
    }

    #isExternal(req: IncomingMessage): boolean {
        const { dialect, document } = this.deps;
        return document().teams !== undefined && req.headers[dialect.key] !== undefined;
    }

    /** Node.js joins repeated fields with commas, so only a value with a comma may come from several fields. */
    #keyOf(req: IncomingMessage): PresentedKey {
        const { dialect, document } = this.deps;
        const value = req.headers[dialect.key];
        if (value === undefined || document().teams === undefined) {
            return { type: "none" };
        }
        return presentedKeyOf(
            typeof value === "string" && !value.includes(",") ? [value] : req.headersDistinct[dialect.key] ?? [],
        );
    }

    #decideAccess({ rule }: MatchedRule, key: PresentedKey, parent: Parent | undefined): AccessDecision {
        const { document, configurationAgeMs, keyedAgeLimitMs } = this.deps;
        return decideAccess({
            document: document(),
            rule,
            key,
            parentTeam: parent?.team,
            configurationAgeMs: configurationAgeMs(),
            keyedAgeLimitMs,
        });
    }

    #refuse({ problem, reason }: Refused, key: PresentedKey, { rule }: MatchedRule, log: RequestLog): RequestRefusal {
        this.deps.onAccessRefused(reason);
        log.accessRefused(reason, key, rule.name, Math.round(this.deps.configurationAgeMs()));
        const retryAfterMs = problem === "stale" ? staleRetryAfterMs : undefined;
        return { type: "refusal", problem, detail: reason, retryAfterMs };
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
