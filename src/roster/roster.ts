/**
 * Which daemons there are.
 *
 * A daemon's own word goes before all else. A record in the store comes next: it may be of an earlier life. What a
 * peer tells of a third daemon fills gaps only. A record that is gone from the store is a hint; the member goes when
 * the daemon itself has been silent since.
 */
import type { Upstream } from "../config/upstream.js";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { Member } from "./member.js";
import type { RosterSource } from "./rostersource.js";
import { upstreamsOf } from "./upstreamsof.js";

/** The word of a daemon that was heard so lately goes before that of the store. */
const DIRECT_MS = 5000;
/** A member without a record is given up when it was silent for so long after the record went. */
const LAPSE_MS = 3000;

type Entry = { member: Member; heardAt: number; lapsedAt: number | undefined; };

/** Pure; all times are milliseconds on the daemon's clock. */
export class Roster {
    readonly #entries = new Map<Address, Entry>();
    readonly #listeners: (() => void)[] = [];

    constructor(private readonly self: Address) {}

    /** Calls the listener after each change of the members or their upstreams. */
    onChange(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /** All members but the daemon itself. */
    get members(): Member[] {
        return [...this.#entries.values()].map(entry => entry.member);
    }

    get upstreams(): Upstream[] {
        return this.members.flatMap(upstreamsOf);
    }

    find(gate: Address): Member | undefined {
        return this.#entries.get(gate)?.member;
    }

    /** True when exactly this state of the daemon is known. */
    knows(gate: Address, incarnation: Incarnation, version: number): boolean {
        const member = this.find(gate);
        return member?.incarnation === incarnation && member.version >= version;
    }

    /** Takes in what is said of a daemon; false when it is no news. */
    take(member: Member, source: RosterSource, now: number): boolean {
        if (member.gate === this.self) {
            return false;
        }
        const entry = this.#entries.get(member.gate);
        if (entry === undefined) {
            const heardAt = source === "itself" ? now : -Infinity;
            this.#entries.set(member.gate, { member, heardAt, lapsedAt: undefined });
            this.#changed();
            return true;
        }
        if (source !== "peer") {
            entry.lapsedAt = undefined;
        }
        const news = this.#isNews(member, entry, source, now);
        if (source === "itself") {
            entry.heardAt = now;
        }
        if (news) {
            entry.member = member;
            this.#changed();
        }
        return news;
    }

    /** Takes in a sign of life. */
    heard(gate: Address, now: number): void {
        const entry = this.#entries.get(gate);
        if (entry !== undefined) {
            entry.heardAt = now;
        }
    }

    /** Takes in that the store has no record of the daemon any more. */
    lapse(gate: Address, now: number): void {
        const entry = this.#entries.get(gate);
        if (entry !== undefined) {
            entry.lapsedAt ??= now;
        }
    }

    /** Takes in the daemon's own word that it goes. */
    remove(gate: Address): void {
        if (this.#entries.delete(gate)) {
            this.#changed();
        }
    }

    /** Members whose record is gone and that have not been heard since: a question settles it. */
    doubtful(): Address[] {
        return [...this.#entries].filter(([, { lapsedAt, heardAt }]) => lapsedAt !== undefined && heardAt < lapsedAt)
            .map(([gate]) => gate);
    }

    /** Gives up members that were silent for too long after their records went; returns them. */
    sweep(now: number): Address[] {
        const gone = this.doubtful().filter(gate => now - this.#entries.get(gate)!.lapsedAt! >= LAPSE_MS);
        gone.forEach(gate => this.#entries.delete(gate));
        if (gone.length > 0) {
            this.#changed();
        }
        return gone;
    }

    #isNews(member: Member, entry: Entry, source: RosterSource, now: number): boolean {
        const known = entry.member;
        if (member.incarnation === known.incarnation) {
            return member.version > known.version;
        }
        switch (source) {
            case "itself":
                return true;
            case "store":
                return now - entry.heardAt > DIRECT_MS;
            case "peer":
                return entry.lapsedAt !== undefined;
        }
    }

    #changed(): void {
        this.#listeners.forEach(listener => listener());
    }
}
