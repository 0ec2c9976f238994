/** A request at a gate, as admission sees it. */
import type { Priority } from "../../config/priority.js";
import type { RuleName } from "../../ids/rulename.js";
import type { TeamName } from "../../ids/teamname.js";

/** `deadline` is on the gate's clock, in milliseconds. */
export type Waiting = {
    readonly priority: Priority;
    readonly team: TeamName;
    readonly deadline: number;
    readonly maxWaitMs: number;
    readonly rule?: RuleName;
    /** How many other upstreams the request could still go to. */
    readonly choices: number;
    /** Those of them in the ingress's own data hall. */
    readonly nearChoices: number;
};
