/** Kinds of log lines; each has a budget of its own, so that none crowds out the others. */

/**
 * `belief`: what the process believes has changed. `failure`: a decision on a request that failed, was refused or may
 * run only once. `decision`: any other decision on a request.
 */
export type LineKind = "belief" | "failure" | "decision";
