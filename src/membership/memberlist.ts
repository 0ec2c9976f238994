/**
 * Which daemons there are.
 *
 * Owns the list. Which source of a record goes before which, and when a member is given up, is decided by policy/membership.
 */
import type { Upstream } from "../config/upstream.js";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import { isNews } from "../policy/membership/isnews.js";
import { judgeMember } from "../policy/membership/judgemember.js";
import type { MemberSource } from "../policy/membership/membersource.js";
import type { HostedUpstream } from "../wire/hostedupstream.js";
import type { Member } from "../wire/member.js";
import { upstreamsOf } from "./upstreamsof.js";

type Entry = { member: Member; heardAt: number; lapsedAt: number | undefined; };

/** Pure; all times are milliseconds on the daemon's clock. */
export class MemberList {
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

    /** What their records say of the upstreams beside them. */
    get hosted(): HostedUpstream[] {
        return this.members.flatMap(member => member.upstreams);
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

    /** Records what a source says of a daemon; false when it changes nothing. */
    record(member: Member, source: MemberSource, now: number): boolean {
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
        const { incarnation, version } = entry.member;
        const known = { incarnation, version, heardAt: entry.heardAt, lapsed: entry.lapsedAt !== undefined };
        const news = isNews(member, known, source, now);
        if (source === "itself") {
            entry.heardAt = now;
        }
        if (news) {
            entry.member = member;
            this.#changed();
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

    /** Removes a daemon that has announced its stop. */
    remove(gate: Address): void {
        if (this.#entries.delete(gate)) {
            this.#changed();
        }
    }

    /** Members whose record is gone and that have given no sign of life since: a question settles it. */
    doubtful(now: number): Address[] {
        return [...this.#entries].filter(([, entry]) => judgeMember(entry, now) !== "present").map(([gate]) => gate);
    }

    /** Gives up members that were silent for too long after their records went; returns them. */
    removeGone(now: number): Address[] {
        const gone = [...this.#entries].filter(([, entry]) => judgeMember(entry, now) === "gone").map(([gate]) => gate);
        gone.forEach(gate => this.#entries.delete(gate));
        if (gone.length > 0) {
            this.#changed();
        }
        return gone;
    }

    #changed(): void {
        this.#listeners.forEach(listener => listener());
    }
}
