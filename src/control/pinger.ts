/** Asks gates that owe answers and are silent; a gate that stays silent is left alone. */
import type { Address } from "../ids/address.js";
import type { Neighbour } from "../ingress/neighbour.js";
import type { Neighbours } from "../ingress/neighbours.js";
import type { Clock } from "../time/clock.js";
import { Ticker } from "../time/ticker.js";
import type { Message } from "./message.js";

const TICK_MS = 50;
const SILENT_MS = 150;
/** An answer that takes no longer than this many times what is usual there is no silence. */
const USUAL_TIMES = 1.5;
/** Datagrams are lost now and then: so many pings in a row must go unanswered. */
const MAX_UNANSWERED = 2;
const PATIENCE_MS = 150;
/** A gate that has not been asked yet is, a few of them a second. */
const ASK_EVERY_MS = 100;

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
    readonly #ticker = new Ticker(TICK_MS, () => this.#tick());
    #askedAt = 0;

    constructor(private readonly parts: PingerParts) {}

    start(): void {
        this.#ticker.start();
    }

    stop(): void {
        this.#ticker.stop();
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
        if (neighbour.pingedAt !== undefined) {
            if (now - neighbour.pingedAt > PATIENCE_MS) {
                this.#missed(neighbour, now);
            }
            return;
        }
        if (this.#hasReason(neighbour, now)) {
            this.#ping(neighbour, now);
        }
    }

    #missed(neighbour: Neighbour, now: number): void {
        const { gate } = neighbour.settings;
        neighbour.pingedAt = undefined;
        neighbour.unanswered += 1;
        if (neighbour.unanswered < MAX_UNANSWERED && this.#answered.has(gate)) {
            this.#ping(neighbour, now);
            return;
        }
        neighbour.unanswered = 0;
        neighbour.silentSince = neighbour.own > 0 ? now : undefined;
        if (this.#answered.has(gate)) {
            neighbour.suspect(now, this.#hasOther(neighbour, now));
        }
    }

    #ping(neighbour: Neighbour, now: number): void {
        if (this.parts.send(neighbour.settings.gate, { type: "ping", from: this.parts.self, sentAt: now })) {
            neighbour.pingedAt = now;
        }
    }

    /** What waits at a silent gate is given up only for something better: when all are silent, it is the hosts that are. */
    #hasOther(neighbour: Neighbour, now: number): boolean {
        const all = this.parts.neighbours.ofService(neighbour.settings.service);
        return all.some(other => other !== neighbour && other.unfit(now) === undefined);
    }

    /** A gate is asked when it owes an answer and is silent, when it is suspected, and once to know that it can answer. */
    #hasReason(neighbour: Neighbour, now: number): boolean {
        const { silentSince, suspicion, heardAt, settings, report } = neighbour;
        const patienceMs = Math.max(SILENT_MS, USUAL_TIMES * (report?.serviceMs ?? 0));
        if (suspicion.suspected || (silentSince !== undefined && now - silentSince > patienceMs)) {
            return true;
        }
        const due = heardAt > 0 && !this.#answered.has(settings.gate) && now - this.#askedAt > ASK_EVERY_MS;
        if (due) {
            this.#askedAt = now;
        }
        return due;
    }
}
