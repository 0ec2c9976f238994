/** What the configuration in force says of requests that are under way. */
import type { MatchedRule } from "../config/matchedrule.js";
import { matchRequest } from "../config/matchrequest.js";
import type { RequestTarget } from "../config/requesttarget.js";
import type { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import type { Outgoing } from "../ingress/outgoing.js";
import type { Plan } from "../ingress/plan.js";
import { isStaleKind } from "../policy/retry/isstalekind.js";
import type { Clock } from "../time/clock.js";
import type { CallHead } from "../wire/callhead.js";

/** Looks rules up again when one side has newer ones than the other. */
export class RuleMatcher {
    constructor(private readonly keeper: CurrentConfiguration, private readonly clock: Clock) {}

    /** The plan by the rules as they are now; the plan itself when none matches. */
    replan(out: Outgoing, plan: Plan): Plan {
        const { method, path, headers } = out;
        return { ...plan, ...this.find({ method, host: headers["host"] as string | undefined, path }) };
    }

    /** True when the sender's older rules let a request repeat that the rules here do not. */
    isStale(head: CallHead, ruling: MatchedRule | undefined): boolean {
        return isStaleKind(head, ruling?.kind, this.keeper.revision);
    }

    /** What the rules here say of a request; undefined when none matches. `draw` chooses the part of a split. */
    find(target: RequestTarget, draw = 0): MatchedRule | undefined {
        return matchRequest(this.keeper.document, target, this.keeper.fresh(this.clock()), draw);
    }
}
