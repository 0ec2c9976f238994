/**
 * Redirects requests that are queued at a slow gate to siblings with free slots.
 *
 * Queued requests have not run yet, so that the gate can still hand them back. While the expected wait is long, the
 * gate sends its need to a few siblings, the other upstreams of its service. A sibling with free slots reserves some of
 * them for a few milliseconds and offers them. The gate hands back as many requests as were offered.
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

/** Interval of the checks while requests are queued; shorter than a redirect takes. */
const CHECK_INTERVAL_MS = 4;
/** Minimum time between two rounds of needs from one gate; the offers for the first have arrived by then. */
const NEED_INTERVAL_MS = 8;
/** Number of random siblings that a need is sent to; docs/EXPERIMENTS.md, "relief asks a third of each sibling". */
const MAX_SIBLINGS = 3;
/** Time for which offered slots stay reserved: a round trip between data halls; a longer time leaves slots unused. */
const OFFER_LIFETIME_MS = 10;

type WorkTransferDependencies = {
    readonly self: Address;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly siblings: () => readonly Upstream[];
    readonly gates: () => Iterable<Gate>;
    readonly gate: (name: UpstreamName) => Gate | undefined;
    readonly send: (to: Address, message: Message) => boolean;
};

/** Sends needs and offers for the gates of this daemon, and handles those of its peers. */
export class WorkTransfer {
    readonly #needSentAt = new Map<Gate, number>();
    #timer: NodeJS.Timeout | undefined;

    constructor(private readonly deps: WorkTransferDependencies) {}

    /** Schedules checks until no request is queued; must be called after each change at a gate. */
    check(): void {
        if (this.#timer === undefined && this.#hasQueuedRequests()) {
            this.#timer = setTimeout(() => this.#checkAll(), CHECK_INTERVAL_MS);
        }
    }

    stop(): void {
        clearTimeout(this.#timer);
    }

    /** Offers free slots to a gate with queued requests. */
    receiveNeed(need: Extract<Message, { type: "need"; }>): void {
        for (const gate of this.deps.gates()) {
            if (gate.upstream.service === need.service && gate.upstream.name !== need.upstream) {
                this.#sendOffer(gate, need);
            }
        }
    }

    /** Hands back requests that are still queued, one for each offered slot. */
    receiveOffer(offer: Extract<Message, { type: "offer"; }>): void {
        this.deps.gate(offer.upstream)?.handBack(offer.goTo, offer.offers);
    }

    #sendOffer(gate: Gate, need: Extract<Message, { type: "need"; }>): void {
        const offers: string[] = [];
        const maxOffers = slotsToOffer(need.count, gate.freeSlots);
        while (offers.length < maxOffers) {
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
        setTimeout(() => offers.forEach(id => gate.withdrawOffer(id)), OFFER_LIFETIME_MS);
    }

    #hasQueuedRequests(): boolean {
        for (const gate of this.deps.gates()) {
            if (gate.queuedCount > 0) {
                return true;
            }
        }
        return false;
    }

    #checkAll(): void {
        this.#timer = undefined;
        const now = this.deps.clock();
        for (const gate of this.deps.gates()) {
            if (gate.queuedCount > 0 && now - (this.#needSentAt.get(gate) ?? -Infinity) >= NEED_INTERVAL_MS) {
                this.#sendNeeds(gate, now);
            }
        }
        this.check();
    }

    #sendNeeds(gate: Gate, now: number): void {
        if (!isWorthHandingBack(gate.report())) {
            return;
        }
        this.#needSentAt.set(gate, now);
        const { self, random, send } = this.deps;
        const { service, name: upstream, region } = gate.upstream;
        const siblings = this.deps.siblings().filter(other =>
            other.service === service && other.region === region && other.name !== upstream && other.gate !== self
            && !other.draining
        );
        const chosenSiblings = sample(siblings, MAX_SIBLINGS, random);
        const count = requestsPerSibling(gate.queuedCount, chosenSiblings.length);
        for (const sibling of chosenSiblings) {
            send(sibling.gate, { type: "need", from: self, service, upstream, count });
        }
    }
}
