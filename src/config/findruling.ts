/** Finds what the configuration says of a request. */
import { decideKind } from "./decidekind.js";
import type { Document } from "./document.js";
import { drawService } from "./drawservice.js";
import { matchRule } from "./matchrule.js";
import type { Ruling } from "./ruling.js";

/** Undefined when no rule matches; `path` may have a query, `draw` from 0 up to 1 chooses the part of a split. */
export function findRuling(
    document: Document,
    method: string,
    host: string | undefined,
    path: string,
    fresh: boolean,
    draw = 0,
): Ruling | undefined {
    const rule = matchRule(document.rules, method, host ?? "", path.split("?", 1)[0]!);
    if (rule === undefined) {
        return undefined;
    }
    const name = drawService(rule, draw);
    const service = document.services.find(item => item.name === name);
    if (service === undefined) {
        return undefined;
    }
    return { rule, service, kind: decideKind(rule, method, fresh) };
}
