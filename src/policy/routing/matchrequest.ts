/**
 * Decides the rule, the service and the kind of a request.
 *
 * The rule is the most specific one that matches. The service is that of the rule, or the one that the sample selects
 * from its split. The kind is decided by retry/decidekind.ts.
 */
import type { Document } from "../../config/document.js";
import { decideKind } from "../retry/decidekind.js";
import type { MatchedRule } from "./matchedrule.js";
import type { RequestTarget } from "./requesttarget.js";
import { routingTableOf } from "./routingtableof.js";
import { selectService } from "./selectservice.js";

/**
 * Returns the match, or undefined if no rule matches or its service is not configured.
 *
 * `isConfigFresh` is true if the store has confirmed the configuration recently. `sample` is a number from 0 up to but
 * not including 1 that selects a service from a split.
 */
export function matchRequest(
    document: Document,
    target: RequestTarget,
    isConfigFresh: boolean,
    sample: number,
): MatchedRule | undefined {
    const { rules, services } = routingTableOf(document);
    const rule = rules.match(target);
    if (rule === undefined) {
        return undefined;
    }
    const name = selectService(rule, sample);
    const service = services.get(name);
    if (service === undefined) {
        return undefined;
    }
    return { rule, service, kind: decideKind(rule, target.method, isConfigFresh) };
}
