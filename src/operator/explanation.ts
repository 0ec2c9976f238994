/** What the daemon would do with a request. */
import type { Kind } from "../config/kind.js";
import type { Rule } from "../config/rule.js";
import type { UpstreamName } from "../ids/upstreamname.js";

/** An upstream, and why it may not be chosen. */
type ExplainedCandidate = {
    readonly upstream: UpstreamName;
    readonly eligible: boolean;
    readonly reason: string;
    readonly expectedMs: number;
};

/** No rule means that the request is refused. */
export type Explanation = {
    readonly rule: Rule | undefined;
    readonly kind: Kind | undefined;
    readonly kindReason: string;
    readonly candidates: readonly ExplainedCandidate[];
};
