/** Defines the explanation of how a daemon would handle a request. */
import type { RequestKind } from "../config/requestkind.js";
import type { Rule } from "../config/rule.js";
import type { UpstreamName } from "../ids/upstreamname.js";

/** An upstream of the service. `reason` states why it can't be selected, and is empty if it can. */
type ExplainedCandidate = {
    readonly upstream: UpstreamName;
    readonly eligible: boolean;
    readonly reason: string;
    readonly expectedMs: number;
};

/** `rule` is undefined if no rule matches; the request would then be refused. */
export type Explanation = {
    readonly rule: Rule | undefined;
    readonly kind: RequestKind | undefined;
    readonly kindReason: string;
    readonly candidates: readonly ExplainedCandidate[];
};
