/**
 * Combines the regions that a rule and a team allow.
 *
 * An empty list in the configuration means no restriction, as a missing one does: it never means that requests may be
 * served nowhere. The result is empty only if both lists are given and have no region in common.
 */
import type { RegionName } from "../../ids/regionname.js";

type Regions = readonly RegionName[] | undefined;

const isRestriction = (regions: Regions): regions is readonly RegionName[] =>
    regions !== undefined && regions.length > 0;

/** Returns the regions in which a request may be served, or undefined if all regions are allowed. */
export function allowedRegions(ofRule: Regions, ofTeam: Regions): Regions {
    if (!isRestriction(ofRule)) {
        return isRestriction(ofTeam) ? ofTeam : undefined;
    }
    return isRestriction(ofTeam) ? ofRule.filter(region => ofTeam.includes(region)) : ofRule;
}
