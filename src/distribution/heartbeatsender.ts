/** Sends heartbeats in rounds. Spreads each round over the first half of its time, so that the load is even. */
import type { Address } from "../ids/address.js";

/** Time between two heartbeats to the same daemon; docs/CAPACITY.md uses this value. */
const ROUND_MS = 2000;
/** Interval at which the owner calls `tick`. */
const TICK_MS = 50;

/** Sends one heartbeat; returns false if the send budget is spent. */
type SendHeartbeat = (to: Address) => boolean;

/** Tracks the recipients that have not got a heartbeat in the present round. */
export class HeartbeatSender {
    /**
     * Recipients of urgent heartbeats in order of insertion, so that a later change does not delay those that wait for
     * an earlier one.
     */
    readonly #urgent = new Set<Address>();
    #pending: Address[] = [];
    #roundStartedAt = -Infinity;
    #refusedCount = 0;

    constructor(private readonly recipients: () => Address[], private readonly send: SendHeartbeat) {}

    /** True while urgent heartbeats wait to be sent. */
    get hasUrgent(): boolean {
        return this.#urgent.size > 0;
    }

    /** Number of urgent heartbeats that the send budget has held back for a tick. */
    get refusedCount(): number {
        return this.#refusedCount;
    }

    /**
     * Marks heartbeats to the given recipients, or to all, as urgent: the next ticks send them as fast as the budget
     * allows.
     */
    sendSoon(recipients = this.recipients()): void {
        recipients.forEach(recipient => this.#urgent.add(recipient));
    }

    /** Sends the urgent heartbeats, then those of the round that are due. */
    tick(now: number): void {
        if (now - this.#roundStartedAt >= ROUND_MS) {
            this.#roundStartedAt = now;
            this.#pending = this.recipients();
        }
        for (const recipient of this.#urgent) {
            if (!this.send(recipient)) {
                this.#refusedCount += 1;
                return;
            }
            this.#urgent.delete(recipient);
        }
        const remainingMs = Math.max(1, this.#roundStartedAt + ROUND_MS / 2 - now);
        let dueCount = Math.ceil(this.#pending.length * TICK_MS / remainingMs);
        while (dueCount > 0 && this.#pending.length > 0 && this.send(this.#pending[0]!)) {
            this.#pending.shift();
            dueCount -= 1;
        }
    }
}
