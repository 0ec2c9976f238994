/** Explains a request without sending it. */
import type { Document } from "../config/document.js";
import type { Rule } from "../config/rule.js";
import type { UpstreamTable } from "../ingress/upstreamtable.js";
import type { UpstreamView } from "../ingress/upstreamview.js";
import { ExpectedTime } from "../policy/placement/expectedtime.js";
import { decideKind } from "../policy/retry/decidekind.js";
import { matchRule } from "../policy/routing/matchrule.js";
import type { Explanation } from "./explanation.js";

const expected = new ExpectedTime();

const explainKind = (rule: Rule, method: string, fresh: boolean): string => {
    if (decideKind(rule, method, fresh) !== decideKind(rule, method, true)) {
        return "the daemon can't show that its configuration is the newest";
    }
    return rule.kind === undefined ? `the method is ${method}` : "the rule says so";
};

const explainUpstream = (view: UpstreamView, now: number): Explanation["candidates"][number] => {
    const availability = view.availability(now);
    const eligible = availability === "available";
    return {
        upstream: view.upstream,
        eligible,
        reason: eligible ? "" : availability,
        expectedMs: expected.expectedMs(view, now),
    };
};

/** The rule, the kind, and each upstream of the service. */
export function explain(
    document: Document,
    fresh: boolean,
    upstreams: UpstreamTable,
    { method, url }: { readonly method: string; readonly url: URL; },
    now: number,
): Explanation {
    const rule = matchRule(document.rules, { method, host: url.host, path: url.pathname });
    if (rule === undefined) {
        return { rule, kind: undefined, kindReason: "no rule matches", candidates: [] };
    }
    return {
        rule,
        kind: decideKind(rule, method, fresh),
        kindReason: explainKind(rule, method, fresh),
        candidates: upstreams.ofService(rule.service).map(view => explainUpstream(view, now)),
    };
}
