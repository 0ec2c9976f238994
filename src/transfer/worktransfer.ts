/**
 * Moves what waits at a slow gate to a sibling with free slots.
 *
 * What waits has not run, so its gate may still move it. While requests wait long, the gate asks a few siblings; one
 * with free slots keeps some for a few milliseconds and offers them; the gate hands back that many requests.
 */
import { randomUUID } from "node:crypto";
import type { Upstream } from "../config/upstream.js";
import type { Message } from "../datagram/message.js";
import type { Gate } from "../gate/gate.js";
import type { Address } from "../ids/address.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { sample } from "../policy/placement/sample.js";
import type { RandomSource } from "../policy/randomsource.js";
import { isWorthHandingBack } from "../policy/transfer/isworthhandingback.js";
import { requestsPerSibling } from "../policy/transfer/requestspersibling.js";
import { slotsToOffer } from "../policy/transfer/slotstooffer.js";
import type { Clock } from "../time/clock.js";

/** How often gates with waiting requests are looked at, in milliseconds: less than a move costs. */
const TICK_MS = 4;
/** Between two questions of one gate, in milliseconds: offers to the one before have come by then. */
const ASK_EVERY_MS = 8;
/** Siblings asked at once, at random: docs/EXPERIMENTS.md, "relief asks a third of each sibling". */
const MAX_ASKED = 3;
/** Long enough for the way there and back between halls, short enough not to waste a slot; milliseconds. */
const HOLD_MS = 10;

/** What the transfer needs of its daemon. */
type TransferDependencies = {
    readonly self: Address;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly siblings: () => readonly Upstream[];
    readonly gates: () => Iterable<Gate>;
    readonly gate: (name: UpstreamName) => Gate | undefined;
    readonly send: (to: Address, message: Message) => boolean;
};

/** Asks for, makes and uses offers. */
export class WorkTransfer {
    readonly #askedAt = new Map<Gate, number>();
    #timer: NodeJS.Timeout | undefined;

    constructor(private readonly deps: TransferDependencies) {}

    /** To be called when something has changed at a gate; goes on by itself while something waits. */
    check(): void {
        if (this.#timer === undefined && this.#anyWaiting()) {
            this.#timer = setTimeout(() => this.#tick(), TICK_MS);
        }
    }

    stop(): void {
        clearTimeout(this.#timer);
    }

    /** Answers a gate whose requests wait, by offers. */
    receiveNeed(need: Extract<Message, { type: "need"; }>): void {
        for (const gate of this.deps.gates()) {
            if (gate.upstream.service === need.service && gate.upstream.name !== need.upstream) {
                this.#offer(gate, need);
            }
        }
    }

    /** Uses offers for what still waits. */
    receiveOffer(offer: Extract<Message, { type: "offer"; }>): void {
        this.deps.gate(offer.upstream)?.handBack(offer.goTo, offer.offers);
    }

    #offer(gate: Gate, need: Extract<Message, { type: "need"; }>): void {
        const offers: string[] = [];
        const most = slotsToOffer(need.count, gate.freeSlots);
        while (offers.length < most) {
            const id = randomUUID();
            if (!gate.offer(id)) {
                break;
            }
            offers.push(id);
        }
        if (offers.length === 0) {
            return;
        }
        const goTo = gate.upstream.name;
        this.deps.send(need.from, { type: "offer", from: this.deps.self, upstream: need.upstream, goTo, offers });
        setTimeout(() => offers.forEach(id => gate.withdrawOffer(id)), HOLD_MS);
    }

    #anyWaiting(): boolean {
        for (const gate of this.deps.gates()) {
            if (gate.queuedCount > 0) {
                return true;
            }
        }
        return false;
    }

    #tick(): void {
        this.#timer = undefined;
        const now = this.deps.clock();
        for (const gate of this.deps.gates()) {
            if (gate.queuedCount > 0 && now - (this.#askedAt.get(gate) ?? -Infinity) >= ASK_EVERY_MS) {
                this.#ask(gate, now);
            }
        }
        this.check();
    }

    #ask(gate: Gate, now: number): void {
        if (!isWorthHandingBack(gate.report())) {
            return;
        }
        this.#askedAt.set(gate, now);
        const { self, random, send } = this.deps;
        const { service, name: upstream } = gate.upstream;
        const siblings = this.deps.siblings().filter(other =>
            other.service === service && other.name !== upstream && other.gate !== self && !other.draining
        );
        const asked = sample(siblings, MAX_ASKED, random);
        const count = requestsPerSibling(gate.queuedCount, asked.length);
        for (const sibling of asked) {
            send(sibling.gate, { type: "need", from: self, service, upstream, count });
        }
    }
}
