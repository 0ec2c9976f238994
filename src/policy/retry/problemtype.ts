/** Why winglock answers a caller itself. */

/** Each has a status and an outcome of its own; see problems.ts. */
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
    | "unreachable"
    | "deadline"
    | "answer-lost";
