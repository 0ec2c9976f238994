/** Why winglock answers a caller itself. */

/** Each has a status and an outcome of its own; see problems.ts. */
export type ProblemType =
    | "no-rule"
    | "not-ready"
    | "too-deep"
    | "body-too-large"
    | "bad-request"
    | "no-upstream"
    | "overloaded"
    | "unreachable"
    | "deadline"
    | "answer-lost";
