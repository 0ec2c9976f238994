/**
 * Decides whether a request may run more than once (`repeatable`) or not (`once`).
 *
 * The kind comes from the rule or, where the rule has none, from the method. A daemon whose configuration may be stale
 * treats every unsafe method as `once`, since a newer rule may say so. Running a request less often than allowed does
 * no harm. An `upload` is a request that runs at most once.
 */
import type { RequestKind } from "../../config/requestkind.js";
import type { Rule } from "../../config/rule.js";

/** The methods defined as safe by RFC 9110, section 9.2.1, without TRACE. */
const SAFE_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);

/** Returns the kind of a request. `isConfigFresh` is true if the store has confirmed the configuration recently. */
export function decideKind(rule: Pick<Rule, "kind">, method: string, isConfigFresh: boolean): RequestKind {
    const isSafe = SAFE_METHODS.has(method);
    if ((!isSafe && !isConfigFresh) || rule.kind === "upload") {
        return "once";
    }
    return rule.kind ?? (isSafe ? "repeatable" : "once");
}
