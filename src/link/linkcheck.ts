/**
 * Determines whether a connection on which a response is overdue is unresponsive.
 *
 * It sends a probe, which the peer responds to at once, whatever the state of the request. If there is no response in
 * time, it opens a new connection and probes that one too. If the new connection responds and the old one still does
 * not, the old one is unresponsive. If neither responds, the host is slow, unreachable or gone, which the failure
 * detection handles.
 * The pool does not use the check for peers of older versions, which do not support probes.
 */
import type { Clock } from "../time/clock.js";
import { sleep } from "../time/sleep.js";
import type { LinkConnection } from "./linkconnection.js";

/** Covers the round trip through two busy processes. */
const PROBE_TIMEOUT_MS = 200;
/** Timeout of the probe on the new connection. */
const CONFIRM_TIMEOUT_MS = 500;

/** After a stall of this process the responses on both connections may be unread; they are read in any order. */
const SETTLE_DELAY_MS = 50;

/** Dependencies that the pool provides; `open` rejects if the peer does not accept a connection. */
type CheckDependencies = {
    readonly clock: Clock;
    readonly open: () => Promise<LinkConnection>;
    /** Adds a connection that was opened for the check to the idle ones. */
    readonly release: (connection: LinkConnection) => void;
};

/** Checks the connections to one peer. */
export class LinkCheck {
    #confirmedAt = -Infinity;
    #confirming: Promise<void> | undefined;

    constructor(private readonly deps: CheckDependencies) {}

    /** Resolves with true if the connection is unresponsive; it may have been closed by then. */
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

    /** Probes a new connection; checks that run at the same time share it. */
    async #confirm(): Promise<void> {
        const { clock, open, release } = this.deps;
        try {
            const newConnection = await open();
            if (!await newConnection.probe(CONFIRM_TIMEOUT_MS)) {
                // A request on this connection would have to wait for the same response.
                newConnection.destroy();
                return;
            }
            this.#confirmedAt = clock();
            release(newConnection);
        }
        catch {
            // The peer is gone or unreachable; requests to it fail for the same reason and log it.
        }
        finally {
            this.#confirming = undefined;
        }
    }
}
