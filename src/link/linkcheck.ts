/**
 * Does a connection to a peer carry anything at all, when the answer on it is overdue?
 *
 * It is asked by a probe, which the other end answers at once whatever it does for the request. Without an answer a new connection is
 * opened and asked too: when that one answers and the old one still has not, the old one is silent. When neither does, the host is
 * slow, cut off or gone, which is for failuredetection to find out. Peers of a version that does not know probes are never asked.
 */
import type { Clock } from "../time/clock.js";
import { sleep } from "../time/sleep.js";
import type { LinkConnection } from "./linkconnection.js";

/** How long a probe may go unanswered: the way there and back through two busy processes, in milliseconds. */
const PROBE_TIMEOUT_MS = 200;
/** How long the new connection has for the same, in milliseconds. */
const CONFIRM_TIMEOUT_MS = 500;

/** After a stall here the answers of both wait to be read, in no order; milliseconds. */
const SETTLE_DELAY_MS = 50;

/** What the check needs of its pool; `open` rejects when the peer takes no connection. */
type CheckDependencies = {
    readonly clock: Clock;
    readonly open: () => Promise<LinkConnection>;
    /** Takes back a connection that was opened for the check. */
    readonly release: (connection: LinkConnection) => void;
};

/** Of one peer. */
export class LinkCheck {
    #confirmedAt = -Infinity;
    #confirming: Promise<void> | undefined;

    constructor(private readonly deps: CheckDependencies) {}

    /** Resolves with true when the connection is silent; it may have ended meanwhile. */
    async isUnresponsive(connection: LinkConnection): Promise<boolean> {
        const probedAt = this.deps.clock();
        if (await connection.probe(PROBE_TIMEOUT_MS)) {
            return false;
        }
        if (this.#confirmedAt < probedAt) {
            this.#confirming ??= this.#confirm();
            await this.#confirming;
        }
        if (this.#confirmedAt < probedAt) {
            return false;
        }
        await sleep(SETTLE_DELAY_MS);
        return !connection.hasActivitySince(probedAt);
    }

    /** Asks on a new connection; connections that are checked at the same time share one. */
    async #confirm(): Promise<void> {
        const { clock, open, release: free } = this.deps;
        try {
            const fresh = await open();
            if (!await fresh.probe(CONFIRM_TIMEOUT_MS)) {
                // A request on it would wait again for what this question has waited for.
                fresh.destroy();
                return;
            }
            this.#confirmedAt = clock();
            free(fresh);
        }
        catch {
            // No connection: the peer is gone or cut off, and requests to it find that out and log it.
        }
        finally {
            this.#confirming = undefined;
        }
    }
}
