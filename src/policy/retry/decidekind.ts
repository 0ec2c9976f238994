/** Whether a request may run again. */
import type { Kind } from "./kind.js";
import type { Rule } from "./rule.js";

/** Methods that RFC 9110 (9.2.1) calls safe and that callers send. */
const SAFE_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);

/** The rule's kind or else the method's; without proof that the rule is fresh, an unsafe method is `once`. */
export function decideKind(rule: Rule, method: string, fresh: boolean): Kind {
    const safe = SAFE_METHODS.has(method);
    if (!safe && !fresh) {
        return "once";
    }
    return rule.kind ?? (safe ? "repeatable" : "once");
}
