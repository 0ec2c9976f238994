/**
 * Keeps daemons in touch with each other without the store.
 *
 * Each says now and then, to a bounded number of peers, who it is and which revision it has. Whoever is behind asks:
 * for the sender's record, for those of others when it knows few, and for the configuration.
 */
import type { Message } from "../datagram/message.js";
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import { sample } from "../policy/placement/sample.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { Clock } from "../time/clock.js";
import { Ticker } from "../time/ticker.js";
import type { Member } from "../wire/member.js";
import type { MemberList } from "./memberlist.js";

const logger = log("roster");

/** How often doubtful members are asked and silent ones given up, in milliseconds: six times within their grace. */
const SWEEP_EVERY_MS = 500;
/** Milliseconds; docs/CAPACITY.md reckons with it. */
const HELLO_EVERY_MS = 3000;
/** Greeted in each round, at random; docs/CAPACITY.md reckons with it. */
const MAX_PEERS = 24;
/** A peer that is behind is answered at most so often; milliseconds. */
const ANSWER_EVERY_MS = 500;

type Hello = Extract<Message, { type: "hello"; }>;

/** What gossip needs of its daemon; `ask` gets the records that a peer has, its own first. */
type GossipParts = {
    readonly self: Address;
    readonly members: MemberList;
    readonly member: () => Member;
    readonly revision: () => number;
    readonly pull: (revision: number, from: Address) => Promise<void>;
    readonly ask: (peer: Address) => Promise<Member[]>;
    readonly send: (to: Address, message: Message) => boolean;
    readonly clock: Clock;
    readonly random: RandomSource;
};

/** Owns its timers. */
export class Gossip {
    readonly #answeredAt = new Map<Address, number>();
    readonly #asking = new Set<Address>();
    readonly #tickers = [
        new Ticker(SWEEP_EVERY_MS, () => this.#sweep()),
        new Ticker(HELLO_EVERY_MS, () => this.#greetSome()),
    ];

    constructor(private readonly parts: GossipParts) {}

    start(): void {
        this.#tickers.forEach(ticker => ticker.start());
    }

    stop(): void {
        this.#tickers.forEach(ticker => ticker.stop());
    }

    /** Announces a change of this daemon's own record, to all peers that are known; the rest learn it from the store. */
    announceRecord(): void {
        const { members, send, self, member } = this.parts;
        const own = member();
        members.members.forEach(peer => send(peer.gate, { type: "member", from: self, member: own }));
    }

    /** Announces to all peers that this daemon stops. */
    announceStop(): void {
        const { members, send, self } = this.parts;
        members.members.forEach(peer => send(peer.gate, { type: "going", from: self }));
    }

    receive(message: Extract<Message, { type: "hello" | "member" | "going"; }>): void {
        const { members, clock } = this.parts;
        const now = clock();
        switch (message.type) {
            case "member":
                members.record(message.member, "itself", now);
                return;
            case "going":
                members.remove(message.from);
                return;
            case "hello":
                this.#receiveHello(message, now);
        }
    }

    #receiveHello(hello: Hello, now: number): void {
        const { members, revision, pull } = this.parts;
        const { from, incarnation, version } = hello;
        members.recordAlive(from, now);
        if (!members.knows(from, incarnation, version)) {
            void this.#learn(from);
        }
        if (hello.revision > revision()) {
            void pull(hello.revision, from);
        }
        else if (hello.revision < revision() || !hello.knowsYou) {
            this.#answer(from, now);
        }
    }

    #answer(to: Address, now: number): void {
        if (now - (this.#answeredAt.get(to) ?? -Infinity) >= ANSWER_EVERY_MS) {
            this.#answeredAt.set(to, now);
            this.#greet(to);
        }
    }

    async #learn(peer: Address): Promise<void> {
        if (this.#asking.has(peer)) {
            return;
        }
        this.#asking.add(peer);
        try {
            const [own, ...others] = await this.parts.ask(peer);
            const now = this.parts.clock();
            if (own !== undefined) {
                this.parts.members.record(own, "itself", now);
            }
            others.forEach(member => this.parts.members.record(member, "peer", now));
        }
        catch (err) {
            logger.warn("The peer did not return its members.", err, { peer });
        }
        finally {
            this.#asking.delete(peer);
        }
    }

    #sweep(): void {
        const { members, clock } = this.parts;
        members.removeGone(clock()).forEach(gate => {
            this.#answeredAt.delete(gate);
            logger.change("A peer is given up: its record is gone and it is silent.", { peer: gate });
        });
        members.doubtful(clock()).forEach(gate => this.#greet(gate));
    }

    #greetSome(): void {
        const { members, random } = this.parts;
        sample(members.members, MAX_PEERS, random).forEach(member => this.#greet(member.gate));
    }

    #greet(to: Address): void {
        const { self, member, revision, send, members, clock } = this.parts;
        const { incarnation, version } = member();
        const peer = members.find(to);
        const doubted = peer === undefined || members.doubtful(clock()).includes(to);
        send(to, { type: "hello", from: self, incarnation, version, revision: revision(), knowsYou: !doubted });
    }
}
