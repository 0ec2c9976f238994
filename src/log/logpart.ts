/** The parts of a daemon that log. */

/** Stands on each line as `part`. */
export type LogPart =
    | "daemon"
    | "ingress"
    | "gate"
    | "config"
    | "peer"
    | "operator"
    | "health"
    | "roster"
    | "connections"
    | "halls";
