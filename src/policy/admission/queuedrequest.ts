/** A request that arrives or is queued at a gate. */
import type { Priority } from "../../config/priority.js";
import type { RuleName } from "../../ids/rulename.js";
import type { TeamName } from "../../ids/teamname.js";

/** The properties of a request by which admission decides; `deadline` is a time in milliseconds on the gate's clock. */
export type QueuedRequest = {
    readonly priority: Priority;
    readonly team: TeamName;
    readonly deadline: number;
    readonly maxWaitMs: number;
    readonly rule?: RuleName;
    /** The number of other upstreams that could still serve the request. */
    readonly choices: number;
    /** The number of those in the ingress's own data hall. */
    readonly nearChoices: number;
};
