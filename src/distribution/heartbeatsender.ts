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
    #pending: Address[] = [];
    #roundAt = -Infinity;
    #urgent = false;

    constructor(private readonly members: () => Address[], private readonly send: SendBeat) {}

    /** Starts a new round that goes as fast as the budget allows. */
    sendSoon(): void {
        this.#pending = this.members();
        this.#urgent = true;
    }

    /** Sends what is due; call it several times a round. */
    tick(now: number): void {
        if (now - this.#roundAt >= ROUND_MS) {
            this.#roundAt = now;
            this.#pending = this.members();
        }
        const left = Math.max(1, this.#roundAt + ROUND_MS / 2 - now);
        let due = this.#urgent ? this.#pending.length : Math.ceil(this.#pending.length * TICK_MS / left);
        while (due > 0 && this.#pending.length > 0 && this.send(this.#pending[0]!)) {
            this.#pending.shift();
            due -= 1;
        }
        this.#urgent = this.#urgent && this.#pending.length > 0;
    }
}
