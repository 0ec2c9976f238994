/** What is to be done with a request, before any upstream is chosen. */
import type { Kind } from "../config/kind.js";
import type { Rule } from "../config/rule.js";
import type { Service } from "../config/service.js";

/** `deadline` is on the daemon's clock, in milliseconds. */
export type Plan = {
    readonly rule: Rule;
    readonly service: Service;
    readonly kind: Kind;
    readonly deadline: number;
    readonly depth: number;
};
