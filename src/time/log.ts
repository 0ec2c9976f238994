/** Logs: short sentences, each part under its own prefix, chosen by DEBUG=winglock:*. */
import createDebug from "debug";

/** Parts of the daemon that log. */
type Part = "daemon" | "ingress" | "gate" | "config" | "peer" | "operator" | "health";

/** Returns the logger of one part. */
export function log(part: Part): createDebug.Debugger {
    return createDebug(`winglock:${part}`);
}
