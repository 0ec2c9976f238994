/**
 * Tells the other daemons which requests crash upstreams, and learns it from them.
 *
 * With a count of its own at each daemon such a request would crash three times as many upstreams as there are daemons. Two ways, and
 * neither needs the store: a crash is told at once, by a datagram, to the daemons beside the service's other upstreams and to those that
 * tell the halls; and each heartbeat carries a mark of what its sender knows, so that a daemon which knows something else, since it has
 * just started, was cut off or lost a datagram, exchanges all with the sender. Who has just started asks some by itself.
 */
import type { Message } from "../datagram/message.js";
import type { Address } from "../ids/address.js";
import type { CrashId } from "../ids/crashid.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { ServiceName } from "../ids/servicename.js";
import { log } from "../log/log.js";
import { sample } from "../policy/placement/sample.js";
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import { recordsOfCrash } from "../policy/quarantine/recordsofcrash.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { CrashGuard } from "./crashguard.js";

const logger = log("peer");

/** Daemons beside upstreams of the same service that are told of a crash at once; the others learn of it from the next heartbeat. */
const MAX_SIBLINGS = 8;
/** In one datagram: what fits, and more than an upstream has slots. */
const MAX_REQUESTS = 64;
/** Whom a daemon asks that has just met others. */
const ASKED_AT_START = 2;

/** `exchange` gives a peer what is known here, and resolves with what is known there. */
type SpreadParts = {
    readonly self: Address;
    readonly guard: CrashGuard;
    readonly peers: () => readonly Address[];
    /** Those that tell a hall of what they get to know. */
    readonly relays: () => readonly Address[];
    /** The daemons beside the service's other upstreams. */
    readonly siblings: (service: ServiceName) => readonly Address[];
    readonly exchange: (peer: Address, known: readonly CrashRecord[]) => Promise<CrashRecord[]>;
    readonly send: (to: Address, message: Message) => boolean;
    readonly random: RandomSource;
};

/** Owns the exchanges that are under way: one with each peer. */
export class CrashSpread {
    readonly #exchanging = new Set<Address>();
    /** The marks at the last exchange with each peer: the peer's, and this daemon's. */
    readonly #exchanged = new Map<
        Address,
        { readonly theirs: number | undefined; readonly own: number | undefined; }
    >();
    #hasMet = false;

    constructor(private readonly parts: SpreadParts) {
        parts.guard.onNews(own => own && this.#announce(own.service, own.crash, own.requests));
    }

    receive({ crash, requests }: Extract<Message, { type: "crash"; }>): void {
        this.parts.guard.merge(recordsOfCrash(crash, requests));
    }

    /** Exchanges with a peer whose mark differs, unless that was done and nothing has changed since: each keeps so much only. */
    compareMarks(from: Address, theirs: number | undefined): void {
        const { mark: own } = this.parts.guard;
        const last = this.#exchanged.get(from);
        const isDone = last !== undefined && theirs === last.theirs && own === last.own;
        if (theirs !== own && !isDone && !this.#exchanging.has(from)) {
            this.#exchanged.set(from, { theirs, own });
            void this.#exchange(from);
        }
    }

    /** To be called when who is there has changed: the first time that there are others, some of them are asked. */
    meet(): void {
        const { peers, self, random } = this.parts;
        const others = peers().filter(gate => gate !== self);
        const known = new Set(others);
        [...this.#exchanged.keys()].filter(peer => !known.has(peer)).forEach(peer => this.#exchanged.delete(peer));
        if (!this.#hasMet && others.length > 0) {
            this.#hasMet = true;
            sample(others, ASKED_AT_START, random).forEach(peer => void this.#exchange(peer));
        }
    }

    #announce(service: ServiceName, crash: CrashId, requests: readonly RequestKey[]): void {
        const { self, relays, siblings, random, send } = this.parts;
        const near = sample(siblings(service).filter(gate => gate !== self), MAX_SIBLINGS, random);
        const message: Message = { type: "crash", from: self, crash, requests: requests.slice(0, MAX_REQUESTS) };
        new Set([...relays(), ...near]).forEach(gate => send(gate, message));
    }

    async #exchange(peer: Address): Promise<void> {
        if (this.#exchanging.has(peer)) {
            return;
        }
        this.#exchanging.add(peer);
        const { guard, exchange } = this.parts;
        try {
            guard.merge(await exchange(peer, guard.records));
        }
        catch (err) {
            this.#exchanged.delete(peer);
            logger.warn("What a peer knows of requests that crash upstreams was not learnt.", err, { peer });
        }
        finally {
            this.#exchanging.delete(peer);
        }
    }
}
