/** Finds what the configuration says of a request. */
import { decideKind } from "./decidekind.js";
import type { Document } from "./document.js";
import { matchRule } from "./matchrule.js";
import type { Ruling } from "./ruling.js";

/** Undefined when no rule matches; `path` may have a query. */
export function findRuling(
    document: Document,
    method: string,
    host: string | undefined,
    path: string,
    fresh: boolean,
): Ruling | undefined {
    const rule = matchRule(document.rules, method, host ?? "", path.split("?", 1)[0]!);
    const service = document.services.find(item => item.name === rule?.service);
    if (rule === undefined || service === undefined) {
        return undefined;
    }
    return { rule, service, kind: decideKind(rule, method, fresh) };
}
