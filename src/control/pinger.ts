/** Asks gates that owe answers and are silent; a gate that stays silent is left alone. */
import type { Address } from "../ids/address.js";
import type { Neighbour } from "../ingress/neighbour.js";
import type { Neighbours } from "../ingress/neighbours.js";
import type { Clock } from "../time/clock.js";
import type { Message } from "./message.js";

const TICK_MS = 50;
const SILENT_MS = 150;
const PATIENCE_MS = 250;

/** What the pinger needs of its daemon. */
type PingerParts = {
    readonly self: Address;
    readonly clock: Clock;
    readonly neighbours: Neighbours;
    readonly send: (to: Address, message: Message) => boolean;
};

/** Only gates that have answered a ping before can be found silent: else it may be the datagrams that are lost. */
export class Pinger {
    readonly #answered = new Set<Address>();
    #timer: NodeJS.Timeout | undefined;

    constructor(private readonly parts: PingerParts) {}

    start(): void {
        this.#timer = setInterval(() => this.#tick(), TICK_MS);
    }

    stop(): void {
        clearInterval(this.#timer);
    }

    /** Takes in the answer to a ping. */
    hear(pong: Extract<Message, { type: "pong"; }>): void {
        const now = this.parts.clock();
        this.#answered.add(pong.from);
        for (const neighbour of this.parts.neighbours.atGate(pong.from)) {
            neighbour.heard(now);
            neighbour.observe(pong.loads.find(load => load.upstream === neighbour.upstream)?.report, now);
        }
    }

    #tick(): void {
        const now = this.parts.clock();
        for (const neighbour of this.parts.neighbours.all) {
            if (!neighbour.local) {
                this.#look(neighbour, now);
            }
        }
    }

    #look(neighbour: Neighbour, now: number): void {
        const { gate } = neighbour.settings;
        if (neighbour.pingedAt !== undefined) {
            if (now - neighbour.pingedAt > PATIENCE_MS) {
                neighbour.pingedAt = undefined;
                neighbour.silentSince = now;
                if (this.#answered.has(gate)) {
                    neighbour.suspect(now);
                }
            }
            return;
        }
        const silent = neighbour.silentSince !== undefined && now - neighbour.silentSince > SILENT_MS;
        if (silent && this.parts.send(gate, { type: "ping", from: this.parts.self, sentAt: now })) {
            neighbour.pingedAt = now;
        }
    }
}
