/** Defines the rules by which operators select requests and set how they are handled. */
import { z } from "zod";
import { RegionName } from "../ids/regionname.js";
import { RuleName } from "../ids/rulename.js";
import { ServiceName } from "../ids/servicename.js";
import { TeamName } from "../ids/teamname.js";
import { maxAttempts } from "./maxattempts.js";
import { maxTimeLimitMs } from "./maxtimelimitms.js";
import { Priority } from "./priority.js";
import { priorityOfRank } from "./priorityofrank.js";
import { ResponseMode } from "./responsemode.js";
import { RuleKind } from "./rulekind.js";
import { WeightedService } from "./weightedservice.js";

const DEFAULT_TIME_LIMIT_MS = 10_000;
/** Limits the length of a host name or a path prefix. */
const MAX_PATH_CHARS = 1024;
/** More than the number of methods in use. */
const MAX_METHODS = 16;
/** Limits the shares of a split, and so the size of the document. */
const MAX_SHARES = 64;
/** Limits the regions of a rule; more than any deployment has. */
const MAX_REGIONS = 64;

const Method = z.string().regex(/^[A-Z][A-Z-]{0,31}$/, "must be an HTTP method in capitals");

const hasPositiveWeight = (shares: readonly WeightedService[]): boolean =>
    shares.length === 0 || shares.some(({ weight }) => weight > 0);

const Rule = z.strictObject({
    name: RuleName,
    host: z.string().max(MAX_PATH_CHARS).default(""),
    pathPrefix: z.string().max(MAX_PATH_CHARS).startsWith("/"),
    methods: z.array(Method).max(MAX_METHODS).default([]),
    service: ServiceName,
    split: z.array(WeightedService).max(MAX_SHARES).refine(
        hasPositiveWeight,
        "at least one share must have a weight above 0",
    )
        .optional(),
    priority: z.union([Priority, z.int().min(0).transform(priorityOfRank)]).default("normal"),
    tenant: TeamName.default("none" as TeamName),
    kind: RuleKind.optional(),
    timeLimitMs: z.int().min(1).max(maxTimeLimitMs).default(DEFAULT_TIME_LIMIT_MS),
    targetMs: z.int().min(1).max(maxTimeLimitMs).optional(),
    maxTries: z.int().min(1).max(maxAttempts).optional(),
    answer: ResponseMode.default("whole"),
    public: z.boolean().optional(),
    regions: z.array(RegionName).max(MAX_REGIONS).optional(),
});
type Rule = z.infer<typeof Rule>;

/**
 * A rule states which requests it matches and how they are handled.
 *
 * - `split`: if present, distributes the requests over its services instead of sending them to `service`.
 * - `kind`: derived from the method if omitted.
 * - `targetMs`: the time within which a response is most useful to the caller.
 * - `maxTries`: the largest number of attempts for a request.
 * - `public`: if true, requests need no key, also where the document has teams.
 * - `regions`: the only regions in which the requests may be served; all regions if omitted.
 */
export { Rule };
