/**
 * Propagates crash records between daemons.
 *
 * If each daemon counted crashes on its own, a request that crashes upstreams could crash three times as many upstreams
 * as there are daemons. The records are propagated without the store:
 * - A daemon sends each crash of an upstream beside it in a datagram to some daemons beside the service's other
 *   upstreams, and to the relays of all data halls.
 * - Each heartbeat carries the digest of its sender's records. A daemon with another digest has just started, was
 *   disconnected or has lost a datagram. It exchanges with the sender the changes since their last exchange.
 * - A daemon that has just started begins exchanges with relays itself.
 *
 * With 40 daemons and twenty crashes at eight requests each, the exchanges transfer 6,392 records. They would transfer
 * 124,952 if each exchange contained all records (crashpropagation.test.ts).
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
import type { RecordsPosition } from "../wire/recordsposition.js";
import type { CrashGuard } from "./crashguard.js";

const logger = log("peer");

/** Number of sibling daemons that a crash is sent to at once; the others receive it after their next heartbeat. */
const MAX_SIBLINGS = 8;
/** Number of requests that fit into one datagram; more than an upstream has slots. */
const MAX_REQUESTS = 64;
/** Number of relays that a daemon exchanges records with after its start; relays have the most records. */
const STARTUP_EXCHANGES = 2;

type CrashPropagationDependencies = {
    readonly self: Address;
    readonly incarnation: Incarnation;
    readonly guard: CrashGuard;
    /** Returns the addresses of all members, including this daemon. */
    readonly members: () => readonly Address[];
    /** Returns the daemons that propagate changes in their data halls; those of this daemon's own hall come first. */
    readonly relays: () => readonly Address[];
    /** Returns the daemons beside the service's upstreams. */
    readonly siblings: (service: ServiceName) => readonly Address[];
    /** Sends the local changes to a peer, and resolves with the changes of the peer. */
    readonly exchange: (peer: Address, changes: CrashChanges) => Promise<CrashChanges>;
    readonly send: (to: Address, message: Message) => boolean;
    readonly random: RandomSource;
};

/** State after the last exchange with a peer. */
type LastExchange = {
    readonly peerDigest: number | undefined;
    /** The peer's incarnation, and how many of its changes have been received. */
    readonly receivedUpTo: RecordsPosition;
    /** Number of this daemon's changes that have been sent to the peer. */
    readonly sentChangeCount: number;
};

/** Exchanges records with peers; at most one exchange with each peer is in progress. */
export class CrashPropagation {
    readonly #exchanging = new Set<Address>();
    readonly #lastExchanges = new Map<Address, LastExchange>();
    #hasExchangedAtStart = false;

    constructor(private readonly deps: CrashPropagationDependencies) {
        deps.guard.onChange(local => local && this.#sendCrash(local.service, local.crash, local.requests));
    }

    receive({ crash, requests }: Extract<Message, { type: "crash"; }>): void {
        this.deps.guard.merge(toCrashRecords(crash, requests));
    }

    /**
     * Starts an exchange with a peer whose digest differs, unless neither side has changed since the last exchange: the
     * digests may stay different because each daemon keeps a limited number of records.
     */
    compareDigests(from: Address, peerDigest: number | undefined): void {
        const { digest, changeCount } = this.deps.guard;
        const lastExchange = this.#lastExchanges.get(from);
        const isUpToDate = lastExchange !== undefined && peerDigest === lastExchange.peerDigest
            && changeCount === lastExchange.sentChangeCount;
        if (peerDigest !== digest && !isUpToDate && !this.#exchanging.has(from)) {
            void this.#exchange(from);
        }
    }

    /** Merges the changes that a peer sent in an exchange, and returns the changes since the last one. */
    handleExchange({ records, have }: CrashChanges): CrashChanges {
        this.deps.guard.merge(records);
        return this.#changesAfter(have?.life === this.deps.incarnation ? have.at : 0);
    }

    /**
     * Must be called when the members have changed. Drops the state of former members, and starts exchanges with relays
     * when there are other members for the first time.
     */
    onMembersChanged(): void {
        const { members, self, relays } = this.deps;
        const others = members().filter(address => address !== self);
        const known = new Set(others);
        [...this.#lastExchanges.keys()].filter(peer => !known.has(peer)).forEach(peer =>
            this.#lastExchanges.delete(peer)
        );
        if (!this.#hasExchangedAtStart && others.length > 0) {
            this.#hasExchangedAtStart = true;
            relays().slice(0, STARTUP_EXCHANGES).forEach(peer => void this.#exchange(peer));
        }
    }

    #sendCrash(service: ServiceName, crash: CrashId, requests: readonly RequestKey[]): void {
        const { self, relays, siblings, random, send } = this.deps;
        const chosenSiblings = sample(siblings(service).filter(address => address !== self), MAX_SIBLINGS, random);
        const message: Message = { type: "crash", from: self, crash, requests: requests.slice(0, MAX_REQUESTS) };
        new Set([...relays(), ...chosenSiblings]).forEach(address => send(address, message));
    }

    #changesAfter(changeCount: number): CrashChanges {
        const { guard, incarnation } = this.deps;
        return {
            records: guard.recordsChangedAfter(changeCount),
            upTo: { life: incarnation, at: guard.changeCount },
            mark: guard.digest,
        };
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
            logger.warn(
                "Could not exchange crash records with a peer; they may differ until its next heartbeat.",
                err,
                { peer },
            );
        }
        finally {
            this.#exchanging.delete(peer);
        }
    }

    /**
     * Sends the changes since the last exchange. If the peer has restarted since then, it has received only these
     * changes, so the state is dropped and the next exchange sends all records.
     */
    async #exchangeChanges(peer: Address): Promise<void> {
        const { guard, exchange } = this.deps;
        const { receivedUpTo, sentChangeCount = 0 } = this.#lastExchanges.get(peer) ?? {};
        const changes = this.#changesAfter(sentChangeCount);
        const response = await exchange(peer, { ...changes, have: receivedUpTo });
        guard.merge(response.records);
        const isSynchronized = guard.digest === response.mark;
        if (!isSynchronized && receivedUpTo !== undefined && receivedUpTo.life !== response.upTo.life) {
            this.#lastExchanges.delete(peer);
            return;
        }
        const newSentChangeCount = isSynchronized ? guard.changeCount : changes.upTo.at;
        this.#lastExchanges.set(peer, {
            peerDigest: response.mark,
            receivedUpTo: response.upTo,
            sentChangeCount: newSentChangeCount,
        });
    }
}
