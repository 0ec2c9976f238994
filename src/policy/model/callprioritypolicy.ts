/** Names the rule by which the simulation assigns a priority to a nested call. */

/**
 * `own`: the priority of the call's own rule. `inherited`: the priority of the request that makes the call.
 * `raised`: one level above that of the request, because the work already done on it would be lost otherwise.
 */
export type CallPriorityPolicy = "own" | "inherited" | "raised";
