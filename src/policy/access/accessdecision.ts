/** Defines the decision on whether a request may be served, and in whose name. */
import type { Priority } from "../../config/priority.js";
import type { RegionName } from "../../ids/regionname.js";
import type { TeamName } from "../../ids/teamname.js";
import type { AccessRefusalReason } from "./accessrefusalreason.js";

/** Who sends the request, as far as its key proves it. */
type CallerIdentity = {
    /** The team that the upstream is told; undefined if the request has no key of its own. */
    readonly statedTeam: TeamName | undefined;
};

/**
 * `unauthorized`: the request needs a valid key. `stale`: this daemon can't check the key now, another one may.
 *
 * `team` is the team that the request is accounted to, or `none`. `identity` is undefined if the document has no teams;
 * then keys are not checked. `regions` are the only regions in which the request may be served, if there are any.
 */
export type AccessDecision =
    | {
        readonly type: "granted";
        readonly team: TeamName;
        readonly priority: Priority;
        readonly identity: CallerIdentity | undefined;
        readonly regions: readonly RegionName[] | undefined;
    }
    | {
        readonly type: "refused";
        readonly problem: "unauthorized" | "stale";
        readonly reason: AccessRefusalReason;
    };
