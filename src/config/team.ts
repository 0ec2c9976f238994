/** Defines the teams whose keys callers present. */
import { z } from "zod";
import { KeyDigest } from "../ids/keydigest.js";
import { RegionName } from "../ids/regionname.js";
import { TeamName } from "../ids/teamname.js";
import { maxRequestsPerSecond } from "./maxrequestspersecond.js";
import { Priority } from "./priority.js";
import { priorityOfRank } from "./priorityofrank.js";

/** Limits the keys of a team, and so the size of the document; a rotation needs two. */
const MAX_KEYS = 64;
/** Limits the regions of a team; more than any deployment has. */
const MAX_REGIONS = 64;

const Team = z.strictObject({
    name: TeamName,
    keyDigests: z.array(KeyDigest).max(MAX_KEYS).default([]),
    ratePerSecond: z.number().min(0).max(maxRequestsPerSecond).default(0),
    burst: z.number().min(0).max(maxRequestsPerSecond).default(0),
    priority: z.union([Priority, z.int().min(0).transform(priorityOfRank)]).optional(),
    regions: z.array(RegionName).max(MAX_REGIONS).optional(),
});
type Team = z.infer<typeof Team>;

/**
 * A team sends requests with its keys.
 *
 * - `keyDigests`: the digests of the keys; the keys themselves are not stored.
 * - `ratePerSecond`, `burst`: the limit of the team's requests over all daemons; a rate of 0 means no limit.
 * - `priority`: precedes the priority of the rule, if present.
 * - `regions`: the only regions in which the team's requests may be served; all regions if omitted.
 */
export { Team };
