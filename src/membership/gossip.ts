/**
 * Keeps daemons in touch with each other without the store.
 *
 * A change of a daemon's record goes to those that watch the store in each hall, which tell their halls (distribution/hallheartbeats.ts).
 * Besides, each says now and then, to a few peers, who it is and which revision it has. Whoever is behind asks: for the sender's record,
 * for those of others when it knows nobody, and for the configuration.
 */
import type { Message } from "../datagram/message.js";
import type { Evacuations } from "../evacuation/evacuations.js";
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import { sample } from "../policy/placement/sample.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { Clock } from "../time/clock.js";
import { Ticker } from "../time/ticker.js";
import type { Member } from "../wire/member.js";
import type { RecordChanges } from "../wire/recordchanges.js";
import type { MemberList } from "./memberlist.js";

const logger = log("roster");

/** How often doubtful members are asked and silent ones given up, in milliseconds: six times within their grace. */
const SWEEP_EVERY_MS = 500;
/** Milliseconds; docs/CAPACITY.md reckons with it. */
const HELLO_EVERY_MS = 3000;
/** Greeted in each round, at random; docs/CAPACITY.md reckons with it. */
const MAX_PEERS = 4;
/** A peer that is behind is answered at most so often; milliseconds. */
const ANSWER_EVERY_MS = 500;

type Hello = Extract<Message, { type: "hello"; }>;

/** What gossip needs of its daemon; `askAll` gets the records that a peer has, `askOwn` its own. */
type GossipDependencies = {
    readonly self: Address;
    readonly members: MemberList;
    readonly member: () => Member;
    /** Those that tell a hall of what they get to know: of this daemon's own hall, and of the others. */
    readonly relays: () => Address[];
    readonly revision: () => number;
    readonly pull: (revision: number, from: Address) => Promise<void>;
    readonly evacuations: Evacuations;
    readonly askOwn: (peer: Address) => Promise<Member>;
    readonly askAll: (peer: Address) => Promise<RecordChanges>;
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

    constructor(private readonly deps: GossipDependencies) {}

    start(): void {
        this.#tickers.forEach(ticker => ticker.start());
    }

    stop(): void {
        this.#tickers.forEach(ticker => ticker.stop());
    }

    /** Announces a change of this daemon's own record to those that tell the rest. */
    announceRecord(): void {
        const { relays, send, self, member } = this.deps;
        const own = member();
        relays().forEach(peer => send(peer, { type: "member", from: self, member: own }));
    }

    /** Announces to those that tell the rest that this daemon stops. */
    announceStop(): void {
        const { relays, send, self } = this.deps;
        relays().forEach(peer => send(peer, { type: "going", from: self }));
    }

    receive(message: Extract<Message, { type: "hello" | "member" | "going"; }>): void {
        const { members, clock } = this.deps;
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
        const { members, revision, pull, evacuations } = this.deps;
        const { from, incarnation, version, evacuated } = hello;
        members.recordAlive(from, now);
        evacuations.recordWord(evacuated);
        if (!members.knows(from, incarnation, version)) {
            void this.#learn(from);
        }
        if (hello.revision > revision()) {
            void pull(hello.revision, from);
        }
        else if (hello.revision < revision() || !hello.knowsYou || evacuations.isAhead(evacuated)) {
            this.#answer(from, now);
        }
    }

    #answer(to: Address, now: number): void {
        if (now - (this.#answeredAt.get(to) ?? -Infinity) >= ANSWER_EVERY_MS) {
            this.#answeredAt.set(to, now);
            this.#greet(to);
        }
    }

    /** One that knows nobody asks for all that the peer knows. */
    async #learn(peer: Address): Promise<void> {
        if (this.#asking.has(peer)) {
            return;
        }
        this.#asking.add(peer);
        try {
            await (this.deps.members.size === 0 ? this.#learnAll(peer) : this.#learnOwn(peer));
        }
        catch (err) {
            logger.warn("The peer did not return its record.", err, { peer });
        }
        finally {
            this.#asking.delete(peer);
        }
    }

    async #learnOwn(peer: Address): Promise<void> {
        const own = await this.deps.askOwn(peer);
        this.deps.members.record(own, "itself", this.deps.clock());
    }

    async #learnAll(peer: Address): Promise<void> {
        const { members, clock, askAll } = this.deps;
        const changes = await askAll(peer);
        const now = clock();
        members.inOne(() =>
            changes.members.forEach(member => members.record(member, member.gate === peer ? "itself" : "peer", now))
        );
    }

    #sweep(): void {
        const { members, clock } = this.deps;
        const now = clock();
        members.removeGone(now).forEach(gate => {
            this.#answeredAt.delete(gate);
            logger.change("A peer is given up: its record is gone and it is silent.", { peer: gate });
        });
        members.doubtful(now).forEach(gate => this.#greet(gate));
    }

    #greetSome(): void {
        const { members, random } = this.deps;
        sample(members.members, MAX_PEERS, random).forEach(member => this.#greet(member.gate));
    }

    #greet(to: Address): void {
        const { self: from, member, revision, send, members, clock, evacuations } = this.deps;
        const { incarnation, version } = member();
        const knowsYou = members.find(to) !== undefined && !members.isDoubtful(to, clock());
        const evacuated = evacuations.word;
        send(to, {
            type: "hello",
            from,
            incarnation,
            version,
            revision: revision(),
            knowsYou,
            ...evacuated !== undefined && { evacuated },
        });
    }
}
