/** Sends a hall's heartbeats: a round of small datagrams, spread over its time so that no second is loaded. */
import type { Address } from "../ids/address.js";

/** Between two heartbeats to the same daemon, in milliseconds; docs/CAPACITY.md reckons with it. */
const ROUND_MS = 2000;
/** How often `tick` is called, in milliseconds. */
const TICK_MS = 50;

/** Sends one heartbeat; false when the budget is spent. */
type SendBeat = (to: Address) => boolean;

/** Holds to whom this round has not been sent yet. */
export class HeartbeatSender {
    /** First come, first sent: who has waited since an earlier change is not put back by a later one. */
    readonly #urgent = new Set<Address>();
    #pending: Address[] = [];
    #roundAt = -Infinity;

    constructor(private readonly members: () => Address[], private readonly send: SendBeat) {}

    /** Sends to these, or to all, as fast as the budget allows. */
    sendSoon(to = this.members()): void {
        to.forEach(gate => this.#urgent.add(gate));
    }

    /** Sends what is due; call it several times a round. */
    tick(now: number): void {
        if (now - this.#roundAt >= ROUND_MS) {
            this.#roundAt = now;
            this.#pending = this.members();
        }
        for (const gate of this.#urgent) {
            if (!this.send(gate)) {
                return;
            }
            this.#urgent.delete(gate);
        }
        const left = Math.max(1, this.#roundAt + ROUND_MS / 2 - now);
        let due = Math.ceil(this.#pending.length * TICK_MS / left);
        while (due > 0 && this.#pending.length > 0 && this.send(this.#pending[0]!)) {
            this.#pending.shift();
            due -= 1;
        }
    }
}
