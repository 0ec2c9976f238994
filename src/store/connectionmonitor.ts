/**
 * Detects that the open connections to a store have become unresponsive while watches are pending on them. Without it,
 * such a watch can't be told from one that waits for a change.
 *
 * If a call on the open connections stays without a response, a check is sent on new ones: a store that is slow responds
 * late to both. Sends a check on the open connections if no other call is made. Owns the timers.
 */
import { isOverdue } from "../time/isoverdue.js";

/** Time without a response after which a call is compared with a check on new connections; above any usual latency. */
const SILENCE_MS = 400;

type MonitorDependencies<Connections> = {
    /** Returns the connections that are in use. */
    readonly current: () => Connections;
    readonly open: () => Connections;
    readonly discard: (connections: Connections) => void;
    /** Sends a check; resolves with whether there was a response, and never rejects. */
    readonly check: (connections: Connections) => Promise<boolean>;
    /** Called if the connections in use did not respond before the new ones, `replacement`, did. */
    readonly onUnresponsive: (replacement: Connections) => void;
    /** Time after a call until a check is sent, in milliseconds. */
    readonly checkIntervalMs: number;
};

/** Has to run while there are pending watches, and to be told of each other call. Makes one comparison at a time. */
export class ConnectionMonitor<Connections> {
    #timer: NodeJS.Timeout | undefined;
    #isRunning = false;
    #isComparing = false;

    constructor(private readonly deps: MonitorDependencies<Connections>) {}

    start(): void {
        this.#isRunning = true;
        this.#scheduleCheck();
    }

    stop(): void {
        this.#isRunning = false;
        clearTimeout(this.#timer);
    }

    /** Records a call, also a check; `response` resolves at its first data or its failure, and never rejects. */
    observe(connections: Connections, response: Promise<unknown>): void {
        if (this.#isRunning && connections === this.deps.current()) {
            this.#scheduleCheck();
            void this.#compareIfSilent(connections, response);
        }
    }

    #scheduleCheck(): void {
        clearTimeout(this.#timer);
        const { check, current, checkIntervalMs } = this.deps;
        this.#timer = setTimeout(() => void check(current()), checkIntervalMs);
    }

    async #compareIfSilent(connections: Connections, response: Promise<unknown>): Promise<void> {
        if (await isOverdue(response, SILENCE_MS) && this.#isRunning && !this.#isComparing) {
            this.#isComparing = true;
            await this.#compare(connections, response);
            this.#isComparing = false;
        }
    }

    async #compare(connections: Connections, response: Promise<unknown>): Promise<void> {
        const { current, open, discard, check, onUnresponsive } = this.deps;
        const replacement = open();
        const isReplacementFirst = await Promise.race([response.then(() => false), check(replacement)]);
        if (isReplacementFirst && current() === connections) {
            onUnresponsive(replacement);
        }
        else {
            discard(replacement);
        }
    }
}
