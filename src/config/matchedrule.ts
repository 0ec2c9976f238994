/** What the configuration says of a request. */
import type { Kind } from "./kind.js";
import type { Rule } from "./rule.js";
import type { Service } from "./service.js";

/** The rule that matches, its service, and the kind that results. */
export type MatchedRule = {
    readonly rule: Rule;
    readonly service: Service;
    readonly kind: Kind;
};
