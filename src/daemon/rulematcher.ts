/** Matches requests with the rules of the newest configuration here, also those that are under way. */
import type { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import type { OutgoingRequest } from "../ingress/outgoingrequest.js";
import type { Plan } from "../ingress/plan.js";
import { isStaleKind } from "../policy/retry/isstalekind.js";
import type { MatchedRule } from "../policy/routing/matchedrule.js";
import { matchRequest } from "../policy/routing/matchrequest.js";
import type { RequestTarget } from "../policy/routing/requesttarget.js";
import type { Clock } from "../time/clock.js";
import type { RequestMetadata } from "../wire/requestmetadata.js";

/** Asks for the document anew each time, so that each request is decided by the newest. */
export class RuleMatcher {
    constructor(private readonly configuration: CurrentConfiguration, private readonly clock: Clock) {}

    /** What the rules here say of a request; undefined when none matches. `draw` chooses the part of a split. */
    find(target: RequestTarget, splitSample = 0): MatchedRule | undefined {
        const { document } = this.configuration;
        return matchRequest(document, target, this.configuration.isFresh(this.clock()), splitSample);
    }

    /** The plan by the rules as they are now; the plan itself when none matches. */
    replan(out: OutgoingRequest, plan: Plan): Plan {
        const { method, path, headers } = out;
        return {
            ...plan,
            ...this.find({ method, host: headers["host"] as string | undefined, path }, plan.splitSample),
        };
    }

    /** True when the sender's older rules let a request repeat that the rules here do not. */
    isStale(head: RequestMetadata, rule: MatchedRule | undefined): boolean {
        return isStaleKind(head, rule?.kind, this.configuration.revision);
    }
}
