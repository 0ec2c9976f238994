/**
 * Finds the most specific rule that matches a request, in a time that does not depend on the number of rules.
 *
 * A rule with a host precedes rules without one, then the longest path prefix, then a rule with methods, then the first
 * name in lexical order. Rules are indexed by host and prefix; a search looks up the request's path cut to each length
 * that a prefix of the host has.
 */
import type { Rule } from "../../config/rule.js";
import type { RequestTarget } from "./requesttarget.js";

/** Matches any host. */
const ANY_HOST = "";

/** The rules of one host: by prefix in order of precedence, with the lengths of the prefixes from the longest down. */
type HostRules = { readonly byPrefix: Map<string, Rule[]>; lengths: readonly number[]; };

const withoutPort = (host: string): string => host.replace(/:\d+$/, "").toLowerCase();

const withoutQuery = (path: string): string => path.split("?", 1)[0]!;

/** Returns true if the path, which begins with the prefix, equals it or continues it with a new path segment. */
const endsAtSegment = (path: string, prefix: string): boolean =>
    prefix.endsWith("/") || path.length === prefix.length || path[prefix.length] === "/";

const comparePrecedence = (rule: Rule, other: Rule): number =>
    Number(other.methods.length > 0) - Number(rule.methods.length > 0) || (rule.name < other.name ? -1 : 1);

/** Indexes the rules of one document. */
export class RuleIndex {
    readonly #byHost = new Map<string, HostRules>();

    constructor(rules: readonly Rule[]) {
        rules.forEach(rule => this.#add(rule));
        this.#byHost.forEach(hostRules => {
            hostRules.byPrefix.forEach(samePrefix => samePrefix.sort(comparePrecedence));
            const lengths = new Set([...hostRules.byPrefix.keys()].map(prefix => prefix.length));
            hostRules.lengths = [...lengths].sort((one, other) => other - one);
        });
    }

    /** Returns the most specific rule that matches, or undefined if none does. */
    match({ method, host = "", path }: RequestTarget): Rule | undefined {
        const plainPath = withoutQuery(path);
        const plainHost = withoutPort(host);
        return this.#matchHost(plainHost, method, plainPath)
            ?? (plainHost === ANY_HOST ? undefined : this.#matchHost(ANY_HOST, method, plainPath));
    }

    #add(rule: Rule): void {
        const host = rule.host.toLowerCase();
        const hostRules = this.#byHost.get(host) ?? { byPrefix: new Map<string, Rule[]>(), lengths: [] };
        this.#byHost.set(host, hostRules);
        const samePrefix = hostRules.byPrefix.get(rule.pathPrefix);
        if (samePrefix === undefined) {
            hostRules.byPrefix.set(rule.pathPrefix, [rule]);
        }
        else {
            samePrefix.push(rule);
        }
    }

    #matchHost(host: string, method: string, path: string): Rule | undefined {
        const hostRules = this.#byHost.get(host);
        for (const length of hostRules?.lengths ?? []) {
            const prefix = path.slice(0, length);
            const rule = prefix.length === length && endsAtSegment(path, prefix)
                ? hostRules!.byPrefix.get(prefix)?.find(({ methods }) =>
                    methods.length === 0 || methods.includes(method)
                )
                : undefined;
            if (rule !== undefined) {
                return rule;
            }
        }
        return undefined;
    }
}
