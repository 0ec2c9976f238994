/**
 * The types of the problem documents that winglock sends to callers itself; problems.ts has the status and title of
 * each.
 */
export type ProblemType =
    | "no-rule"
    | "not-ready"
    | "stopping"
    | "unauthorized"
    | "stale"
    | "too-deep"
    | "head-too-large"
    | "body-too-large"
    | "body-memory"
    | "body-timeout"
    | "bad-request"
    | "internal"
    | "no-upstream"
    | "region-unavailable"
    | "overloaded"
    | "quarantined"
    | "over-quota"
    | "quota-unknown"
    | "unreachable"
    | "deadline"
    | "answer-lost";
