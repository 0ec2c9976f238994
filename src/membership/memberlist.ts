/**
 * Which daemons there are.
 *
 * Owns the list, and numbers its changes, so that peers can ask for those that they lack. Which source of a record goes before which,
 * and when a member is given up, is decided by policy/membership.
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

/** Daemons that have gone, remembered for peers that are behind; who lacks more gets the whole list. */
const KEPT_GONE = 256;

/** `changedAt` is the number of the change that brought this record. */
type Entry = { member: Member; heardAt: number; lapsedAt: number | undefined; changedAt: number; };

/** All that there are, or what has changed since. */
type Changes = { readonly complete: boolean; readonly members: Member[]; readonly gone: Address[]; };

/** Pure; all times are milliseconds on the daemon's clock. */
export class MemberList {
    readonly #entries = new Map<Address, Entry>();
    readonly #listeners: (() => void)[] = [];
    /** By the number of the change; in that order. */
    readonly #gone = new Map<Address, number>();
    /** What left before this change is forgotten. */
    #goneKeptFrom = 0;
    #changes = 0;
    #batch: { changed: boolean; } | undefined;

    constructor(private readonly self: Address) {}

    /** Calls the listener after each change of the members or their upstreams. */
    onChange(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /** How many changes there were, of this list and of the daemon's own record. */
    get changes(): number {
        return this.#changes;
    }

    /** What a peer lacks that has seen the changes up to `after`; undefined for one that has seen none. */
    changesSince(after: number | undefined): Changes {
        if (after === undefined || after < this.#goneKeptFrom || after > this.#changes) {
            return { complete: true, members: this.members, gone: [] };
        }
        const changed = [...this.#entries.values()].filter(entry => entry.changedAt > after);
        const gone = [...this.#gone].filter(([, at]) => at > after).map(([gate]) => gate);
        return { complete: false, members: changed.map(entry => entry.member), gone };
    }

    /** Counts a change of the daemon's own record, which is no entry here. */
    countOwnChange(): void {
        this.#changes += 1;
    }

    /** Applies many changes as one: listeners are called once, after the last. */
    inOne(apply: () => void): void {
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
            this.#tell();
        }
    }

    /** All members but the daemon itself. */
    get members(): Member[] {
        return [...this.#entries.values()].map(entry => entry.member);
    }

    /** What their records say of the upstreams beside them. */
    get hosted(): HostedUpstream[] {
        return this.members.flatMap(member => member.upstreams);
    }

    get upstreams(): Upstream[] {
        return this.members.flatMap(upstreamsOf);
    }

    /** How many members there are, without the daemon itself. */
    get size(): number {
        return this.#entries.size;
    }

    find(gate: Address): Member | undefined {
        return this.#entries.get(gate)?.member;
    }

    /** True when exactly this state of the daemon is known. */
    knows(gate: Address, incarnation: Incarnation, version: number): boolean {
        const member = this.find(gate);
        return member?.incarnation === incarnation && member.version >= version;
    }

    /** Records what a source says of a daemon; false when it changes nothing. */
    record(member: Member, source: MemberSource, now: number): boolean {
        if (member.gate === this.self) {
            return false;
        }
        const entry = this.#entries.get(member.gate);
        if (entry === undefined) {
            const heardAt = source === "itself" ? now : -Infinity;
            this.#set(member.gate, { member, heardAt, lapsedAt: undefined, changedAt: 0 });
            return true;
        }
        if (source !== "peer") {
            entry.lapsedAt = undefined;
        }
        const { incarnation, version } = entry.member;
        const known = { incarnation, version, heardAt: entry.heardAt, lapsed: entry.lapsedAt !== undefined };
        const news = isNewerRecord(member, known, source, now);
        if (source === "itself") {
            entry.heardAt = now;
        }
        if (news) {
            this.#set(member.gate, Object.assign(entry, { member }));
        }
        return news;
    }

    /** Records a sign of life. */
    recordAlive(gate: Address, now: number): void {
        const entry = this.#entries.get(gate);
        if (entry !== undefined) {
            entry.heardAt = now;
        }
    }

    /** Records that the store has no record of the daemon any more. */
    recordLapse(gate: Address, now: number): void {
        const entry = this.#entries.get(gate);
        if (entry !== undefined) {
            entry.lapsedAt ??= now;
        }
    }

    /**
     * Records that another daemon has given this one up: it goes, unless it has spoken here itself so lately that the other one may
     * not know it yet; then its record counts as gone, and it is asked.
     */
    recordGone(gate: Address, now: number): void {
        const heardAt = this.#entries.get(gate)?.heardAt ?? -Infinity;
        if (now - heardAt < directPrecedenceMs) {
            this.recordLapse(gate, now);
        }
        else {
            this.remove(gate);
        }
    }

    /** Removes a daemon that has announced its stop. */
    remove(gate: Address): void {
        if (this.#entries.delete(gate)) {
            this.#changes += 1;
            this.#rememberGone(gate);
            this.#changed();
        }
    }

    /** True when the daemon's record is gone and it has given no sign of life since: a question settles it. */
    isDoubtful(gate: Address, now: number): boolean {
        const entry = this.#entries.get(gate);
        return entry !== undefined && memberPresence(entry, now) !== "present";
    }

    /** Members that are doubtful. */
    doubtful(now: number): Address[] {
        return [...this.#entries.keys()].filter(gate => this.isDoubtful(gate, now));
    }

    /** Gives up members that were silent for too long after their records went; returns them. */
    removeGone(now: number): Address[] {
        const gone = [...this.#entries].filter(([, entry]) => memberPresence(entry, now) === "gone").map(([gate]) =>
            gate
        );
        this.inOne(() => gone.forEach(gate => this.remove(gate)));
        return gone;
    }

    #set(gate: Address, entry: Entry): void {
        this.#changes += 1;
        entry.changedAt = this.#changes;
        this.#entries.set(gate, entry);
        this.#gone.delete(gate);
        this.#changed();
    }

    #rememberGone(gate: Address): void {
        this.#gone.delete(gate);
        this.#gone.set(gate, this.#changes);
        if (this.#gone.size > KEPT_GONE) {
            const [oldest, at] = this.#gone.entries().next().value!;
            this.#gone.delete(oldest);
            this.#goneKeptFrom = at;
        }
    }

    #changed(): void {
        if (this.#batch === undefined) {
            this.#tell();
        }
        else {
            this.#batch.changed = true;
        }
    }

    #tell(): void {
        this.#listeners.forEach(listener => listener());
    }
}
