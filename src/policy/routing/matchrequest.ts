/**
 * Which rule, service and kind are a request's? The most exact rule that matches; its service, or the part of its split that was drawn;
 * the kind that retry/decidekind.ts gives.
 */
import type { Document } from "../../config/document.js";
import { decideKind } from "../retry/decidekind.js";
import { drawService } from "./drawservice.js";
import type { MatchedRule } from "./matchedrule.js";
import { matchRule } from "./matchrule.js";
import type { RequestTarget } from "./requesttarget.js";

/** Undefined when no rule matches; `draw` from 0 up to 1 chooses the part of a split. */
export function matchRequest(
    document: Document,
    target: RequestTarget,
    fresh: boolean,
    draw: number,
): MatchedRule | undefined {
    const rule = matchRule(document.rules, target);
    if (rule === undefined) {
        return undefined;
    }
    const name = drawService(rule, draw);
    const service = document.services.find(item => item.name === name);
    if (service === undefined) {
        return undefined;
    }
    return { rule, service, kind: decideKind(rule, target.method, fresh) };
}
