/** What the configuration in force says of requests that are under way. */
import { findRuling } from "../config/findruling.js";
import type { RequestTarget } from "../config/requesttarget.js";
import type { Ruling } from "../config/ruling.js";
import type { Keeper } from "../control/keeper.js";
import type { Outgoing } from "../ingress/outgoing.js";
import type { Plan } from "../ingress/plan.js";
import { isStaleKind } from "../policy/retry/isstalekind.js";
import type { Clock } from "../time/clock.js";
import type { CallHead } from "../wire/callhead.js";

/** Looks rules up again when one side has newer ones than the other. */
export class Rulings {
    constructor(private readonly keeper: Keeper, private readonly clock: Clock) {}

    /** The plan by the rules as they are now; the plan itself when none matches. */
    replan(out: Outgoing, plan: Plan): Plan {
        const { method, path, headers } = out;
        return { ...plan, ...this.find({ method, host: headers["host"] as string | undefined, path }) };
    }

    /** True when the sender's older rules let a request repeat that the rules here do not. */
    isStale(head: CallHead, ruling: Ruling | undefined): boolean {
        return isStaleKind(head, ruling?.kind, this.keeper.revision);
    }

    /** What the rules here say of a request; undefined when none matches. `draw` chooses the part of a split. */
    find(target: RequestTarget, draw = 0): Ruling | undefined {
        return findRuling(this.keeper.document, target, this.keeper.fresh(this.clock()), draw);
    }
}
