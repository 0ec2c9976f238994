/** Finds the most specific rule that matches a request. */
import type { Rule } from "../../config/rule.js";
import type { RequestTarget } from "./requesttarget.js";

const withoutPort = (host: string): string => host.replace(/:\d+$/, "").toLowerCase();

const withoutQuery = (path: string): string => path.split("?", 1)[0]!;

/** Returns true if the path equals the prefix or continues it with a new path segment. */
const isUnderPrefix = (path: string, prefix: string): boolean => {
    if (!path.startsWith(prefix)) {
        return false;
    }
    return prefix.endsWith("/") || path.length === prefix.length || path[prefix.length] === "/";
};

const matches = (rule: Rule, method: string, host: string, path: string): boolean =>
    (rule.methods.length === 0 || rule.methods.includes(method))
    && (rule.host === "" || rule.host.toLowerCase() === host)
    && isUnderPrefix(path, rule.pathPrefix);

/** Returns a rank in which a host outweighs any prefix, and one more character of a prefix outweighs methods. */
const specificity = (rule: Rule): number =>
    (rule.host === "" ? 0 : 1e6) + rule.pathPrefix.length * 10 + (rule.methods.length === 0 ? 0 : 1);

const isMoreSpecific = (rule: Rule, other: Rule): boolean => {
    const difference = specificity(rule) - specificity(other);
    return difference > 0 || (difference === 0 && rule.name < other.name);
};

/**
 * Returns the most specific rule that matches, or undefined if none does.
 *
 * A rule with a host precedes rules without one, then the longest path prefix, then a rule with methods, then the first
 * name in lexical order.
 */
export function matchRule(rules: readonly Rule[], target: RequestTarget): Rule | undefined {
    const { method } = target;
    const host = withoutPort(target.host ?? "");
    const path = withoutQuery(target.path);
    let mostSpecific: Rule | undefined;
    for (const rule of rules) {
        if (matches(rule, method, host, path) && (mostSpecific === undefined || isMoreSpecific(rule, mostSpecific))) {
            mostSpecific = rule;
        }
    }
    return mostSpecific;
}
