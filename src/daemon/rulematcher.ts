/** Matches requests, also those in progress, with the rules of the newest configuration of this daemon. */
import type { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import type { RegionName } from "../ids/regionname.js";
import type { ServiceName } from "../ids/servicename.js";
import type { OutgoingRequest } from "../ingress/outgoingrequest.js";
import type { Plan } from "../ingress/plan.js";
import { allowedRegions } from "../policy/access/allowedregions.js";
import { teamIndexOf } from "../policy/access/teamindexof.js";
import { isStaleKind } from "../policy/retry/isstalekind.js";
import { isStaleRegion } from "../policy/retry/isstaleregion.js";
import { isStaleService } from "../policy/retry/isstaleservice.js";
import type { MatchedRule } from "../policy/routing/matchedrule.js";
import { matchRequest } from "../policy/routing/matchrequest.js";
import type { RequestTarget } from "../policy/routing/requesttarget.js";
import type { Clock } from "../time/clock.js";
import type { RequestMetadata } from "../wire/requestmetadata.js";

/** Reads the current document at each call, so that the newest rules decide on each request. */
export class RuleMatcher {
    constructor(
        private readonly configuration: CurrentConfiguration,
        private readonly clock: Clock,
        private readonly region: RegionName,
    ) {}

    /**
     * Returns the matching rule with its service and kind, or undefined if no rule matches. `splitSample` selects the
     * service of a split: from 0 (inclusive) to 1 (exclusive).
     */
    find(target: RequestTarget, splitSample = 0): MatchedRule | undefined {
        const { document } = this.configuration;
        return matchRequest(document, target, this.configuration.isFresh(this.clock()), splitSample);
    }

    /** Returns the plan updated to the current rules, or undefined if no rule matches any more. */
    replan(out: OutgoingRequest, plan: Plan): Plan | undefined {
        const { method, path, headers } = out;
        const matched = this.find({ method, host: headers["host"] as string | undefined, path }, plan.splitSample);
        if (matched === undefined) {
            return undefined;
        }
        const team = teamIndexOf(this.configuration.document)?.byName.get(plan.team);
        return { ...plan, ...matched, regions: allowedRegions(matched.rule.regions, team?.regions) };
    }

    /**
     * Returns true if the sender, by an older revision, treats the request as repeatable or sends it to this region or
     * to this service, and the rules here do not allow that.
     */
    isStale(head: RequestMetadata, matched: MatchedRule | undefined, service: ServiceName): boolean {
        const { configuration: { revision }, region } = this;
        return isStaleKind(head, matched?.kind, revision)
            || isStaleService(head, { rule: matched?.rule, service }, revision)
            || isStaleRegion(head, { regions: matched?.rule.regions, region }, revision);
    }
}
