/** Explains how this daemon would handle a request, without sending it. */
import type { Document } from "../config/document.js";
import type { Rule } from "../config/rule.js";
import type { UpstreamTable } from "../ingress/upstreamtable.js";
import type { UpstreamView } from "../ingress/upstreamview.js";
import { ExpectedTime } from "../policy/placement/expectedtime.js";
import { decideKind } from "../policy/retry/decidekind.js";
import { routingTableOf } from "../policy/routing/routingtableof.js";
import { explainAccess } from "./explainaccess.js";
import type { Explanation } from "./explanation.js";

/** The caller is assumed to present the key, or else a key of the team, or else nothing. */
type ExplainedRequest = { readonly method: string; readonly url: URL; } & Parameters<typeof explainAccess>[2];

const NO_ACCESS = { access: "", keyFingerprint: "", team: undefined, priority: undefined, regions: undefined };

const expectedTime = new ExpectedTime();

const explainKind = (rule: Rule, method: string, isFresh: boolean): string => {
    if (decideKind(rule, method, isFresh) !== decideKind(rule, method, true)) {
        return "the daemon can't show that its configuration is the newest";
    }
    return rule.kind === undefined ? `the method is ${method}` : "the rule says so";
};

const explainUpstream = (
    view: UpstreamView,
    { regions }: Rule,
    now: number,
): Explanation["candidates"][number] => {
    const availability = view.availability(now);
    const isAllowed = regions?.includes(view.region) ?? true;
    const reason = isAllowed ? availability : `the rule does not allow region ${view.region}`;
    const isEligible = reason === "available";
    return {
        upstream: view.upstream,
        eligible: isEligible,
        reason: isEligible ? "" : reason,
        expectedMs: expectedTime.expectedMs(view, now),
    };
};

/** Returns the matching rule, the kind of the request, and the state of each upstream of the rule's service. */
export function explain(
    document: Document,
    isFresh: boolean,
    upstreams: UpstreamTable,
    { method, url, ...caller }: ExplainedRequest,
    now: number,
): Explanation {
    const rule = routingTableOf(document).rules.match({ method, host: url.host, path: url.pathname });
    if (rule === undefined) {
        return { ...NO_ACCESS, rule, kind: undefined, kindReason: "no rule matches", candidates: [] };
    }
    return {
        ...explainAccess(document, rule, caller),
        rule,
        kind: decideKind(rule, method, isFresh),
        kindReason: explainKind(rule, method, isFresh),
        candidates: upstreams.ofService(rule.service).map(view => explainUpstream(view, rule, now)),
    };
}
