/**
 * May a request run more than once?
 *
 * The rule's kind says so, or else the method. A daemon that can't show that its configuration is the newest treats an unsafe
 * method as `once`, since a newer rule may: running it less often than allowed harms nobody.
 */
import type { Kind } from "../../config/kind.js";
import type { Rule } from "../../config/rule.js";

/** Methods that RFC 9110 (9.2.1) calls safe and that callers send. */
const SAFE_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS"]);

/** `fresh`: the store has confirmed the configuration lately. */
export function decideKind(rule: Pick<Rule, "kind">, method: string, fresh: boolean): Kind {
    const safe = SAFE_METHODS.has(method);
    if (!safe && !fresh) {
        return "once";
    }
    return rule.kind ?? (safe ? "repeatable" : "once");
}
