/**
 * Notifies the owners of connections when an open connection is found to be unresponsive.
 *
 * Connections often become unresponsive together, and an idle one in a pool shows it only when a request is lost on it.
 * When one is found, all owners therefore close their idle connections. New ones are opened as requests need them, so
 * that there is no burst of connects. docs/OPERATIONS.md, "Silent connections", has the rule for each kind.
 */
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { ConnectionKind } from "../metrics/connectionkind.js";
import type { Metrics } from "../metrics/metrics.js";
import type { Clock } from "../time/clock.js";

const logger = log("connections");

/** Minimum time between notifications; connections found within it became unresponsive together with the first. */
const NOTIFICATION_INTERVAL_MS = 1000;

/** Records the unresponsive connections of one daemon. */
export class UnresponsiveConnections {
    readonly #listeners: (() => void)[] = [];
    #notifiedAt = -Infinity;

    constructor(private readonly clock: Clock, private readonly metrics: Metrics) {}

    /** Calls the listener when a connection of any kind is unresponsive; the listener's idle ones may be as well. */
    onDetected(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /** Records an unresponsive connection, which the caller has closed, and notifies all owners. */
    recordAndNotify(kind: ConnectionKind, address: Address): void {
        this.record(kind, address);
        const now = this.clock();
        if (now - this.#notifiedAt >= NOTIFICATION_INTERVAL_MS) {
            this.#notifiedAt = now;
            this.#listeners.forEach(listener => listener());
        }
    }

    /** Records an unresponsive connection without a notification; the process at its other end may be the cause. */
    record(kind: ConnectionKind, address: Address): void {
        logger.warn(
            "Closed an open connection because it is unresponsive.",
            "no response on this connection, while others work",
            { kind, address },
        );
        this.metrics.countUnresponsiveConnection(kind);
    }
}
