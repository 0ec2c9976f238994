/** The result of matching a request against the rules. */
import type { RequestKind } from "../../config/requestkind.js";
import type { Rule } from "../../config/rule.js";
import type { Service } from "../../config/service.js";

/** Holds the matching rule, the service selected by it and the resulting kind of the request. */
export type MatchedRule = {
    readonly rule: Rule;
    readonly service: Service;
    readonly kind: RequestKind;
};
