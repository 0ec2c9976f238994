/** Explains a request without sending it. */
import { decideKind } from "../config/decidekind.js";
import type { Document } from "../config/document.js";
import { matchRule } from "../config/matchrule.js";
import type { Rule } from "../config/rule.js";
import type { Neighbour } from "../ingress/neighbour.js";
import type { Neighbours } from "../ingress/neighbours.js";
import { ExpectedTime } from "../policy/placement/expectedtime.js";
import type { Explanation } from "./explanation.js";

const expected = new ExpectedTime();

const explainKind = (rule: Rule, method: string, fresh: boolean): string => {
    if (decideKind(rule, method, fresh) !== decideKind(rule, method, true)) {
        return "the daemon can't show that its configuration is the newest";
    }
    return rule.kind === undefined ? `the method is ${method}` : "the rule says so";
};

const explainNeighbour = (neighbour: Neighbour, now: number): Explanation["candidates"][number] => {
    const unfit = neighbour.unfit(now);
    return {
        upstream: neighbour.upstream,
        eligible: unfit === undefined,
        reason: unfit ?? "",
        expectedMs: expected.expectedMs(neighbour, now),
    };
};

/** The rule, the kind, and each upstream of the service. */
export function explain(
    document: Document,
    fresh: boolean,
    neighbours: Neighbours,
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
        candidates: neighbours.ofService(rule.service).map(neighbour => explainNeighbour(neighbour, now)),
    };
}
