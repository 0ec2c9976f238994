/** Defines the kinds of log lines; each has a budget of its own, so that none crowds out the others. */

/**
 * - `belief`: the state of the daemon, or its view of other daemons, has changed, or an error occurred.
 * - `failure`: a decision on a request that failed, was refused or may run only once.
 * - `decision`: any other decision on a request.
 */
export type LineKind = "belief" | "failure" | "decision";
