/** The rule for a request, and what follows from it. */
import type { Kind } from "../../config/kind.js";
import type { Rule } from "../../config/rule.js";
import type { Service } from "../../config/service.js";

/** The rule that matches, its service, and the kind that results. */
export type MatchedRule = {
    readonly rule: Rule;
    readonly service: Service;
    readonly kind: Kind;
};
