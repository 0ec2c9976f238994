/**
 * Keeps the list of the other daemons and their records.
 *
 * Owns the list, and numbers its changes so that peers can request those that they lack. policy/membership decides
 * which source of a record takes precedence, and when an unresponsive member is removed.
 */
import type { Upstream } from "../config/upstream.js";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import { directPrecedenceMs } from "../policy/membership/directprecedencems.js";
import { isNewerRecord } from "../policy/membership/isnewerrecord.js";
import { memberPresence } from "../policy/membership/memberpresence.js";
import type { MemberSource } from "../policy/membership/membersource.js";
import type { HostedUpstream } from "../wire/hostedupstream.js";
import type { Member } from "../wire/member.js";
import { upstreamsOf } from "./upstreamsof.js";

/** The number of removals that are remembered for peers that are behind; a peer that lacks more gets the whole list. */
const MAX_REMOVALS = 256;

/** The known state of one member; times are in milliseconds on this daemon's clock. */
type Entry = {
    member: Member;
    /** The time of the member's last message; -Infinity if there was none. */
    lastSeenAt: number;
    /** The time at which its record was first missing from the store; undefined while the store has it. */
    unregisteredAt: number | undefined;
    /** The number of the change that set this record. */
    changeNumber: number;
};

/** The whole list if `complete` is true, otherwise the changes since the number that was requested. */
type MemberChanges = { readonly complete: boolean; readonly members: Member[]; readonly gone: Address[]; };

/** Reads no clock and sends nothing. Times are in milliseconds on the daemon's clock. */
export class MemberList {
    readonly #entries = new Map<Address, Entry>();
    readonly #listeners: (() => void)[] = [];
    /** The number of the change that removed each daemon, in ascending order. */
    readonly #removals = new Map<Address, number>();
    /** All removals after the change of this number are remembered. */
    #removalsCompleteAfter = 0;
    #changeCount = 0;
    /** The batch in progress, and whether it has changed anything so far. */
    #batch: { changed: boolean; } | undefined;

    constructor(private readonly self: Address) {}

    /** Registers a listener that is called after each change of the members or their upstreams. */
    onChange(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /** The number of changes so far, of this list and of the daemon's own record. */
    get changeCount(): number {
        return this.#changeCount;
    }

    /**
     * Returns the changes after number `after`, or the whole list if `after` is undefined or those changes are no
     * longer known.
     */
    changesSince(after: number | undefined): MemberChanges {
        if (after === undefined || after < this.#removalsCompleteAfter || after > this.#changeCount) {
            return { complete: true, members: this.members, gone: [] };
        }
        const changed = [...this.#entries.values()].filter(entry => entry.changeNumber > after);
        const gone = [...this.#removals].filter(([, changeNumber]) => changeNumber > after).map(([gate]) => gate);
        return { complete: false, members: changed.map(entry => entry.member), gone };
    }

    /** Counts a change of the daemon's own record, which is not in this list. */
    countOwnChange(): void {
        this.#changeCount += 1;
    }

    /** Applies the changes as one batch: listeners are called once, after the last change. */
    batch(apply: () => void): void {
        if (this.#batch !== undefined) {
            return apply();
        }
        const batch = { changed: false };
        this.#batch = batch;
        try {
            apply();
        }
        finally {
            this.#batch = undefined;
        }
        if (batch.changed) {
            this.#notifyListeners();
        }
    }

    /** All members except this daemon. */
    get members(): Member[] {
        return [...this.#entries.values()].map(entry => entry.member);
    }

    /** The upstreams in the records of the members. */
    get hostedUpstreams(): HostedUpstream[] {
        return this.members.flatMap(member => member.upstreams);
    }

    /** The upstreams of all members, with their locations and gates. */
    get upstreams(): Upstream[] {
        return this.members.flatMap(upstreamsOf);
    }

    /** The number of members, without this daemon. */
    get size(): number {
        return this.#entries.size;
    }

    /** Returns the record of a daemon, or undefined if it is not a member. */
    find(gate: Address): Member | undefined {
        return this.#entries.get(gate)?.member;
    }

    /** Returns true if this version of the daemon's record, or a later one of the same incarnation, is known. */
    hasVersion(gate: Address, incarnation: Incarnation, version: number): boolean {
        const member = this.find(gate);
        return member?.incarnation === incarnation && member.version >= version;
    }

    /** Records a daemon's record as reported by a source; returns false if that changes nothing. */
    record(member: Member, source: MemberSource, now: number): boolean {
        if (member.gate === this.self) {
            return false;
        }
        const entry = this.#entries.get(member.gate);
        if (entry === undefined) {
            const lastSeenAt = source === "itself" ? now : -Infinity;
            this.#set(member.gate, { member, lastSeenAt, unregisteredAt: undefined, changeNumber: 0 });
            return true;
        }
        if (source !== "peer") {
            entry.unregisteredAt = undefined;
        }
        const { incarnation, version } = entry.member;
        const known = {
            incarnation,
            version,
            lastSeenAt: entry.lastSeenAt,
            isUnregistered: entry.unregisteredAt !== undefined,
        };
        const isNewer = isNewerRecord(member, known, source, now);
        if (source === "itself") {
            entry.lastSeenAt = now;
        }
        if (isNewer) {
            this.#set(member.gate, Object.assign(entry, { member }));
        }
        return isNewer;
    }

    /** Records that a message of the daemon has arrived. */
    recordAlive(gate: Address, now: number): void {
        const entry = this.#entries.get(gate);
        if (entry !== undefined) {
            entry.lastSeenAt = now;
        }
    }

    /** Records that the store no longer has the daemon's record. */
    recordUnregistered(gate: Address, now: number): void {
        const entry = this.#entries.get(gate);
        if (entry !== undefined) {
            entry.unregisteredAt ??= now;
        }
    }

    /**
     * Records that another daemon has removed a member. The member is removed here too, unless it sent a message so
     * recently that the other daemon may not know of it yet; in that case its record counts as gone, and the member is
     * probed.
     */
    recordRemoteRemoval(gate: Address, now: number): void {
        const lastSeenAt = this.#entries.get(gate)?.lastSeenAt ?? -Infinity;
        if (now - lastSeenAt < directPrecedenceMs) {
            this.recordUnregistered(gate, now);
        }
        else {
            this.remove(gate);
        }
    }

    /** Removes a daemon that has announced its stop, or has been unresponsive for too long. */
    remove(gate: Address): void {
        if (this.#entries.delete(gate)) {
            this.#changeCount += 1;
            this.#recordRemoval(gate);
            this.#notifyOrDefer();
        }
    }

    /** Returns true if the daemon's record is gone and no message of it has arrived since: it has to be probed. */
    isDoubtful(gate: Address, now: number): boolean {
        const entry = this.#entries.get(gate);
        return entry !== undefined && memberPresence(entry, now) !== "present";
    }

    /** Returns the gates of the doubtful members. */
    doubtfulGates(now: number): Address[] {
        return [...this.#entries.keys()].filter(gate => this.isDoubtful(gate, now));
    }

    /** Removes the members that did not respond in time after their records were gone, and returns their gates. */
    removeUnresponsive(now: number): Address[] {
        const removed = [...this.#entries].filter(([, entry]) => memberPresence(entry, now) === "gone").map((
            [gate],
        ) => gate);
        this.batch(() => removed.forEach(gate => this.remove(gate)));
        return removed;
    }

    #set(gate: Address, entry: Entry): void {
        this.#changeCount += 1;
        entry.changeNumber = this.#changeCount;
        this.#entries.set(gate, entry);
        this.#removals.delete(gate);
        this.#notifyOrDefer();
    }

    #recordRemoval(gate: Address): void {
        this.#removals.delete(gate);
        this.#removals.set(gate, this.#changeCount);
        if (this.#removals.size > MAX_REMOVALS) {
            const [oldest, changeNumber] = this.#removals.entries().next().value!;
            this.#removals.delete(oldest);
            this.#removalsCompleteAfter = changeNumber;
        }
    }

    #notifyOrDefer(): void {
        if (this.#batch === undefined) {
            this.#notifyListeners();
        }
        else {
            this.#batch.changed = true;
        }
    }

    #notifyListeners(): void {
        this.#listeners.forEach(listener => listener());
    }
}
