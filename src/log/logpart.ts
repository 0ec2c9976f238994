/** Defines the parts of a daemon that write log lines. */

/** Written to each line as the field `part`. */
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
    | "halls"
    | "quota";
