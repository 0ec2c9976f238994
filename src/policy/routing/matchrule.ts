/** Finds the rule for a request. */
import type { Rule } from "../../config/rule.js";
import type { RequestTarget } from "./requesttarget.js";

const withoutPort = (host: string): string => host.replace(/:\d+$/, "").toLowerCase();

const withoutQuery = (path: string): string => path.split("?", 1)[0]!;

const underPrefix = (path: string, prefix: string): boolean => {
    if (!path.startsWith(prefix)) {
        return false;
    }
    return prefix.endsWith("/") || path.length === prefix.length || path[prefix.length] === "/";
};

const matches = (rule: Rule, method: string, host: string, path: string): boolean =>
    (rule.methods.length === 0 || rule.methods.includes(method))
    && (rule.host === "" || rule.host.toLowerCase() === host)
    && underPrefix(path, rule.pathPrefix);

const weight = (rule: Rule): number =>
    (rule.host === "" ? 0 : 1e6) + rule.pathPrefix.length * 10 + (rule.methods.length === 0 ? 0 : 1);

const isBetter = (rule: Rule, best: Rule): boolean => {
    const difference = weight(rule) - weight(best);
    return difference > 0 || (difference === 0 && rule.name < best.name);
};

/** The most exact rule that matches: a named host first, then the longest prefix, a named method, the name's order. */
export function matchRule(rules: readonly Rule[], target: RequestTarget): Rule | undefined {
    const { method } = target;
    const host = withoutPort(target.host ?? "");
    const path = withoutQuery(target.path);
    let best: Rule | undefined;
    for (const rule of rules) {
        if (matches(rule, method, host, path) && (best === undefined || isBetter(rule, best))) {
            best = rule;
        }
    }
    return best;
}
