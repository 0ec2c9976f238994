/** Defines the explanation of how a daemon would handle a request. */
import type { Priority } from "../config/priority.js";
import type { RequestKind } from "../config/requestkind.js";
import type { Rule } from "../config/rule.js";
import type { RegionName } from "../ids/regionname.js";
import type { TeamName } from "../ids/teamname.js";
import type { UpstreamName } from "../ids/upstreamname.js";

/** An upstream of the service. `reason` states why it can't be selected, and is empty if it can. */
type ExplainedCandidate = {
    readonly upstream: UpstreamName;
    readonly eligible: boolean;
    readonly reason: string;
    readonly expectedMs: number;
};

/**
 * `rule` is undefined if no rule matches; the request would then be refused. `access` is `granted`, why the request
 * is refused because of its key, or empty if the document has no teams; `priority`, `team` and `regions` are those of a request that is granted access.
 */
export type Explanation = {
    readonly rule: Rule | undefined;
    readonly kind: RequestKind | undefined;
    readonly kindReason: string;
    readonly access: string;
    readonly keyFingerprint: string;
    readonly team: TeamName | undefined;
    readonly priority: Priority | undefined;
    readonly regions: readonly RegionName[] | undefined;
    readonly candidates: readonly ExplainedCandidate[];
};
