/** Counts and logs the connections that are closed because their callers exceed a limit of the daemon. */
import type { Socket } from "node:net";
import { log } from "../log/log.js";
import type { ClosureReason } from "./closurereason.js";

const logger = log("ingress");

const MESSAGES: Readonly<Record<ClosureReason, string>> = {
    "connection-limit":
        "Closed a caller's connection: there are as many as the descriptors allow, and it had waited for longest.",
    "discard-limit": "Closed a caller's connection: the rest of a refused or answered body exceeds the limit.",
    "request-memory":
        "Closed a caller's connection: unanswered requests take too much memory, and it had the most of them.",
};
const REASONS = Object.keys(MESSAGES) as ClosureReason[];

/** Owns the counts since the start of the daemon. */
export class LimitClosures {
    readonly #counts = new Map<ClosureReason, number>(REASONS.map(reason => [reason, 0]));

    /** The number of closed connections by reason. */
    get counts(): ReadonlyMap<ClosureReason, number> {
        return this.#counts;
    }

    /** Counts a connection that is about to be closed; the number of log lines a second is limited. */
    record(reason: ClosureReason, { remoteAddress, bytesRead }: Socket, fields: object = {}): void {
        this.#counts.set(reason, this.#counts.get(reason)! + 1);
        logger.change(MESSAGES[reason], { reason, remoteAddress, bytesRead, ...fields });
    }
}
