/** The plan for a request: what is known of it before an upstream is chosen. */
import type { Priority } from "../config/priority.js";
import type { Cancellation } from "../http/cancellation.js";
import type { RegionName } from "../ids/regionname.js";
import type { TeamName } from "../ids/teamname.js";
import type { AccessDecision } from "../policy/access/accessdecision.js";
import type { Arrival } from "../policy/retry/arrival.js";
import type { MatchedRule } from "../policy/routing/matchedrule.js";

/** The rule and service of a request, with its deadline. Times are milliseconds on the daemon's clock. */
export type Plan = MatchedRule & {
    readonly type: "plan";
    /** The team that the request is accounted to; `none` if there is none. */
    readonly team: TeamName;
    readonly priority: Priority;
    /** Who sends the request; undefined if the document has no teams. */
    readonly identity?: Extract<AccessDecision, { type: "granted"; }>["identity"];
    /** The only regions in which the request may be served, on each attempt; all regions if undefined. */
    readonly regions?: readonly RegionName[] | undefined;
    /** Selects the part of a split: from 0 (inclusive) to 1 (exclusive), sampled once per request. */
    readonly splitSample: number;
    readonly startedAt: number;
    readonly deadline: number;
    /** Aborts when the run that makes this call is cancelled; undefined if it is no call of a local upstream. */
    readonly runCancel?: Cancellation | undefined;
    /** The number of calls between services that led to this request; 0 for a request from outside. */
    readonly depth: number;
    /** `call` if an upstream makes this call while it runs a repeat of its own request, otherwise `first`. */
    readonly arrival: Extract<Arrival, "first" | "call">;
};
