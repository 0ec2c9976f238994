/**
 * Propagates the records of daemons without the store.
 *
 * A daemon sends each change of its record to the daemons that watch the store in each hall, which notify their halls
 * (distribution/hallheartbeats.ts). In addition, it periodically sends a hello with its incarnation, the version of its
 * record and the revision of its configuration to a few random peers, most of them in its own region, and does so at once
 * when the revision has changed or the first member is known. A receiver that is behind requests what it lacks: the
 * sender's record (or all the sender's records, if it knows no other member) and the configuration. A receiver that is
 * ahead replies.
 */
import type { Message } from "../datagram/message.js";
import type { Evacuations } from "../evacuation/evacuations.js";
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import { selectRevisionPeers } from "../policy/distribution/selectrevisionpeers.js";
import { selectHelloPeers } from "../policy/membership/selecthellopeers.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { Clock } from "../time/clock.js";
import { Ticker } from "../time/ticker.js";
import type { Member } from "../wire/member.js";
import type { RecordChanges } from "../wire/recordchanges.js";
import type { MemberList } from "./memberlist.js";
import { RevisionGossip } from "./revisiongossip.js";

const logger = log("roster");

/**
 * Interval at which doubtful members are probed and unresponsive ones removed: six times within the probe timeout
 * (policy/membership/memberpresence.ts).
 */
const SWEEP_INTERVAL_MS = 500;
/** The interval of the hellos to random peers; the figures in docs/CAPACITY.md depend on it. */
const HELLO_INTERVAL_MS = 3000;
/** The number of random peers that get a hello in each round; the figures in docs/CAPACITY.md depend on it. */
const HELLO_FANOUT = 4;
/** The least time between two replies to one peer that is behind. */
const MIN_REPLY_INTERVAL_MS = 500;

type Hello = Extract<Message, { type: "hello"; }>;

type GossipDependencies = {
    readonly self: Address;
    readonly memberList: MemberList;
    readonly ownRecord: () => Member;
    /** Returns the daemons that propagate a change to their halls, in this daemon's own hall and in the others. */
    readonly relays: () => Address[];
    readonly configurationRevision: () => number;
    readonly pullConfiguration: (revision: number, from: Address) => Promise<void>;
    readonly evacuations: Evacuations;
    /** Requests a peer's own record. */
    readonly fetchRecord: (peer: Address) => Promise<Member>;
    /** Requests all records that a peer has. */
    readonly fetchAllRecords: (peer: Address) => Promise<RecordChanges>;
    readonly send: (to: Address, message: Message) => boolean;
    readonly clock: Clock;
    readonly random: RandomSource;
};

/** Sends and receives the messages about records; owns the timers for them. */
export class Gossip {
    readonly #lastReplyAt = new Map<Address, number>();
    readonly #fetchingFrom = new Set<Address>();
    readonly #tickers = [
        new Ticker(SWEEP_INTERVAL_MS, () => this.#sweep()),
        new Ticker(HELLO_INTERVAL_MS, () => this.#sendHellos()),
    ];

    readonly #revisions: RevisionGossip;
    #hasGreeted = false;

    constructor(private readonly deps: GossipDependencies) {
        const { clock, memberList, ownRecord, random } = deps;
        this.#revisions = new RevisionGossip({
            clock,
            selectPeers: () => selectRevisionPeers(memberList.members, ownRecord(), random).map(({ gate }) => gate),
            sendHello: to => this.#sendHello(to),
        });
    }

    start(): void {
        this.#tickers.forEach(ticker => ticker.start());
    }

    stop(): void {
        this.#tickers.forEach(ticker => ticker.stop());
        this.#revisions.stop();
    }

    /** Notifies a few peers of the revision in force; those that have a newer one reply. */
    announceRevision(): void {
        this.#revisions.announce();
    }

    /** Sends this daemon's changed record to the relays. */
    announceRecord(): void {
        const { relays, send, self, ownRecord } = this.deps;
        const record = ownRecord();
        relays().forEach(peer => send(peer, { type: "member", from: self, member: record }));
    }

    /** Notifies the relays that this daemon stops. */
    announceStop(): void {
        const { relays, send, self } = this.deps;
        relays().forEach(peer => send(peer, { type: "going", from: self }));
    }

    receive(message: Extract<Message, { type: "hello" | "member" | "going"; }>): void {
        const { memberList, clock } = this.deps;
        const now = clock();
        switch (message.type) {
            case "member":
                memberList.record(message.member, "itself", now);
                return;
            case "going":
                memberList.remove(message.from);
                return;
            case "hello":
                this.#receiveHello(message, now);
        }
    }

    #receiveHello(hello: Hello, now: number): void {
        const { memberList, configurationRevision, pullConfiguration, evacuations } = this.deps;
        const { from, incarnation, version, evacuated } = hello;
        memberList.recordAlive(from, now);
        evacuations.recordPropagated(evacuated);
        if (!memberList.hasVersion(from, incarnation, version)) {
            void this.#fetchMissing(from);
        }
        if (hello.revision > configurationRevision()) {
            void pullConfiguration(hello.revision, from);
        }
        else if (hello.revision < configurationRevision() || !hello.knowsYou || evacuations.isPeerBehind(evacuated)) {
            this.#reply(from, now);
        }
    }

    #reply(to: Address, now: number): void {
        if (now - (this.#lastReplyAt.get(to) ?? -Infinity) >= MIN_REPLY_INTERVAL_MS) {
            this.#lastReplyAt.set(to, now);
            this.#sendHello(to);
        }
    }

    /** Requests the peer's record, or all of the peer's records if no other member is known. */
    async #fetchMissing(peer: Address): Promise<void> {
        if (this.#fetchingFrom.has(peer)) {
            return;
        }
        this.#fetchingFrom.add(peer);
        try {
            await (this.deps.memberList.size === 0 ? this.#fetchAllRecords(peer) : this.#fetchRecord(peer));
        }
        catch (err) {
            logger.warn("The peer did not return the requested records; its next hello starts another request.", err, {
                peer,
            });
        }
        finally {
            this.#fetchingFrom.delete(peer);
        }
    }

    async #fetchRecord(peer: Address): Promise<void> {
        const record = await this.deps.fetchRecord(peer);
        this.deps.memberList.record(record, "itself", this.deps.clock());
    }

    async #fetchAllRecords(peer: Address): Promise<void> {
        const { memberList, clock, fetchAllRecords } = this.deps;
        const changes = await fetchAllRecords(peer);
        const now = clock();
        memberList.batch(() =>
            changes.members.forEach(member => memberList.record(member, member.gate === peer ? "itself" : "peer", now))
        );
    }

    #sweep(): void {
        const { memberList, clock } = this.deps;
        const now = clock();
        memberList.removeUnresponsive(now).forEach(gate => {
            this.#lastReplyAt.delete(gate);
            logger.change("A member was removed: its record is gone from the store and it did not respond in time.", {
                peer: gate,
            });
        });
        memberList.doubtfulGates(now).forEach(gate => this.#sendHello(gate));
        this.#greetFirstMembers();
    }

    /**
     * Sends hellos once there are other members: the configuration that was read at the start may be seconds old, and
     * members with a newer one reply.
     */
    #greetFirstMembers(): void {
        if (!this.#hasGreeted && this.deps.memberList.size > 0) {
            this.#hasGreeted = true;
            this.announceRevision();
        }
    }

    #sendHellos(): void {
        const { memberList, random, ownRecord } = this.deps;
        const { region } = ownRecord();
        selectHelloPeers(memberList.members, { region, fanout: HELLO_FANOUT }, random)
            .forEach(member => this.#sendHello(member.gate));
    }

    /** Returns false if the send budget is spent. */
    #sendHello(to: Address): boolean {
        const { self: from, ownRecord, configurationRevision, send, memberList, clock, evacuations } = this.deps;
        const { incarnation, version } = ownRecord();
        const knowsYou = memberList.find(to) !== undefined && !memberList.isDoubtful(to, clock());
        const evacuated = evacuations.stateForPeers;
        return send(to, {
            type: "hello",
            from,
            incarnation,
            version,
            revision: configurationRevision(),
            knowsYou,
            ...evacuated !== undefined && { evacuated },
        });
    }
}
