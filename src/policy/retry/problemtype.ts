/**
 * The types of the problem documents that winglock sends to callers itself; problems.ts has the status and title of
 * each.
 */
export type ProblemType =
    | "no-rule"
    | "not-ready"
    | "too-deep"
    | "head-too-large"
    | "body-too-large"
    | "bad-request"
    | "internal"
    | "no-upstream"
    | "overloaded"
    | "quarantined"
    | "over-quota"
    | "quota-unknown"
    | "unreachable"
    | "deadline"
    | "answer-lost";
