/**
 * Tells the other daemons which requests crash upstreams, and learns it from them.
 *
 * With a count of its own at each daemon such a request would crash three times as many upstreams as there are daemons. Two ways, and
 * neither needs the store: a crash is told at once, by a datagram, to the daemons beside the service's other upstreams and to those that
 * tell the halls; and each heartbeat carries a mark of what its sender knows, so that a daemon which knows something else, since it has
 * just started, was cut off or lost a datagram, exchanges with the sender what has changed since they last did. Who has just started asks some
 * by itself.
 *
 * Twenty crashes of eight requests among 40 daemons take 6,392 records over the wire; 124,952 if each exchange has all (crashspread.test.ts).
 */
import type { Message } from "../datagram/message.js";
import type { Address } from "../ids/address.js";
import type { CrashId } from "../ids/crashid.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { ServiceName } from "../ids/servicename.js";
import { log } from "../log/log.js";
import { sample } from "../policy/placement/sample.js";
import { toCrashRecords } from "../policy/quarantine/tocrashrecords.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { CrashChanges } from "../wire/crashchanges.js";
import type { RecordsMark } from "../wire/recordsmark.js";
import type { CrashGuard } from "./crashguard.js";

const logger = log("peer");

/** Daemons beside upstreams of the same service that are told of a crash at once; the others learn of it from the next heartbeat. */
const MAX_SIBLINGS = 8;
/** In one datagram: what fits, and more than an upstream has slots. */
const MAX_REQUESTS = 64;
/** Whom a daemon asks that has just met others: those that know the most, which are in its hall, if any are. */
const ASKED_AT_START = 2;

/** `exchange` tells a peer what has changed here, and resolves with what has changed there. */
type SpreadDependencies = {
    readonly self: Address;
    readonly life: Incarnation;
    readonly guard: CrashGuard;
    readonly peers: () => readonly Address[];
    /** Those that tell a hall of what they get to know; the own hall's first. */
    readonly relays: () => readonly Address[];
    /** The daemons beside the service's other upstreams. */
    readonly siblings: (service: ServiceName) => readonly Address[];
    readonly exchange: (peer: Address, changes: CrashChanges) => Promise<CrashChanges>;
    readonly send: (to: Address, message: Message) => boolean;
    readonly random: RandomSource;
};

/** The last exchange with a peer: its mark after it, how far the peer has told, and how far it was told. */
type Exchanged = {
    readonly theirs: number | undefined;
    readonly have: RecordsMark;
    readonly told: number;
};

/** Owns the exchanges that are under way: one with each peer. */
export class CrashSpread {
    readonly #exchanging = new Set<Address>();
    readonly #exchanged = new Map<Address, Exchanged>();
    #hasMet = false;

    constructor(private readonly deps: SpreadDependencies) {
        deps.guard.onNews(own => own && this.#announce(own.service, own.crash, own.requests));
    }

    receive({ crash, requests }: Extract<Message, { type: "crash"; }>): void {
        this.deps.guard.merge(toCrashRecords(crash, requests));
    }

    /** Exchanges with a peer whose mark differs, unless that was done and nothing has changed since: each keeps so much only. */
    compareMarks(from: Address, theirs: number | undefined): void {
        const { mark, changes } = this.deps.guard;
        const last = this.#exchanged.get(from);
        const isDone = last !== undefined && theirs === last.theirs && changes === last.told;
        if (theirs !== mark && !isDone && !this.#exchanging.has(from)) {
            void this.#exchange(from);
        }
    }

    /** Answers a peer that has told what has changed there. */
    answer({ records, have }: CrashChanges): CrashChanges {
        this.deps.guard.merge(records);
        return this.#changesAfter(have?.life === this.deps.life ? have.at : 0);
    }

    /** To be called when who is there has changed: the first time that there are others, some of them are asked. */
    meet(): void {
        const { peers, self, relays } = this.deps;
        const others = peers().filter(gate => gate !== self);
        const known = new Set(others);
        [...this.#exchanged.keys()].filter(peer => !known.has(peer)).forEach(peer => this.#exchanged.delete(peer));
        if (!this.#hasMet && others.length > 0) {
            this.#hasMet = true;
            relays().slice(0, ASKED_AT_START).forEach(peer => void this.#exchange(peer));
        }
    }

    #announce(service: ServiceName, crash: CrashId, requests: readonly RequestKey[]): void {
        const { self, relays, siblings, random, send } = this.deps;
        const near = sample(siblings(service).filter(gate => gate !== self), MAX_SIBLINGS, random);
        const message: Message = { type: "crash", from: self, crash, requests: requests.slice(0, MAX_REQUESTS) };
        new Set([...relays(), ...near]).forEach(gate => send(gate, message));
    }

    #changesAfter(changes: number): CrashChanges {
        const { guard, life } = this.deps;
        return { records: guard.recordsAfter(changes), upTo: { life, at: guard.changes }, mark: guard.mark };
    }

    async #exchange(peer: Address): Promise<void> {
        if (this.#exchanging.has(peer)) {
            return;
        }
        this.#exchanging.add(peer);
        try {
            await this.#exchangeChanges(peer);
        }
        catch (err) {
            logger.warn("What a peer knows of requests that crash upstreams was not learnt.", err, { peer });
        }
        finally {
            this.#exchanging.delete(peer);
        }
    }

    /** A peer that has started anew since was told what has changed, and knows nothing else: the next exchange begins anew. */
    async #exchangeChanges(peer: Address): Promise<void> {
        const { guard, exchange } = this.deps;
        const { have, told = 0 } = this.#exchanged.get(peer) ?? {};
        const changes = this.#changesAfter(told);
        const answer = await exchange(peer, { ...changes, have });
        guard.merge(answer.records);
        const isEven = guard.mark === answer.mark;
        if (!isEven && have !== undefined && have.life !== answer.upTo.life) {
            this.#exchanged.delete(peer);
            return;
        }
        const toldUpTo = isEven ? guard.changes : changes.upTo.at;
        this.#exchanged.set(peer, { theirs: answer.mark, have: answer.upTo, told: toldUpTo });
    }
}
