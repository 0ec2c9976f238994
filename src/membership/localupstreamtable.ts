/** The upstreams beside this daemon, by their own announcements. */
import type { Address } from "../ids/address.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { compareIncarnations } from "../policy/membership/compareincarnations.js";
import type { HostedUpstream } from "../wire/hostedupstream.js";
import type { Announcement } from "./announcement.js";
import type { Born } from "./starttime.js";

/** An upstream that has announced nothing for so long has ended; milliseconds, three of its announcements and more. */
const SILENT_MS = 7000;
/** Names of upstreams that have ended, remembered so that a late announcement does not bring one back. */
const MAX_ENDED = 256;

/** `isEnding`: its answers say that it leaves for good, whatever it announces. */
type Entry = { announcement: Announcement; heardAt: number; isEnding: boolean; };

/** Pure; all times are milliseconds on the daemon's clock. */
export class LocalUpstreams {
    readonly #entries = new Map<UpstreamName, Entry>();
    /** By name, the life that has ended as far as it was told. */
    readonly #ended = new Map<UpstreamName, Born | undefined>();

    get all(): HostedUpstream[] {
        return [...this.#entries].map(([name, { announcement, isEnding }]) => ({
            name,
            service: announcement.service,
            address: announcement.address,
            slots: announcement.slots,
            draining: isEnding || announcement.state === "draining",
        }));
    }

    /** Records an announcement; false when it changes nothing. */
    record(name: UpstreamName, announcement: Announcement, now: number): boolean {
        if (this.#hasEnded(name, announcement.born)) {
            return false;
        }
        const entry = this.#entries.get(name);
        if (entry === undefined) {
            this.#replace(announcement.address);
            this.#ended.delete(name);
            this.#entries.set(name, { announcement, heardAt: now, isEnding: false });
            return true;
        }
        if (compareIncarnations(announcement.born, entry.announcement.born) === "earlier") {
            return false;
        }
        entry.heardAt = now;
        if (announcement.sequence <= entry.announcement.sequence) {
            return false;
        }
        const before = entry.announcement;
        entry.announcement = announcement;
        return before.state !== announcement.state || before.slots !== announcement.slots
            || before.address !== announcement.address || before.service !== announcement.service;
    }

    /** Records that an upstream says in its answers that it leaves for good; false when that is known. */
    recordEnding(name: UpstreamName): boolean {
        const entry = this.#entries.get(name);
        if (entry === undefined || entry.isEnding) {
            return false;
        }
        entry.isEnding = true;
        return true;
    }

    /** True when a new name claims an address where another upstream is known. */
    isContested(name: UpstreamName, address: Address): boolean {
        const isNew = !this.#entries.has(name) && !this.#ended.has(name);
        return isNew && [...this.#entries.values()].some(({ announcement }) => announcement.address === address);
    }

    /** Removes an upstream that is about to end, or has ended; false when it was not known, or a later life of it is. */
    remove(name: UpstreamName, born?: Born): boolean {
        const known = this.#entries.get(name)?.announcement.born;
        if (compareIncarnations(born, known) === "earlier") {
            return false;
        }
        this.end(name, born ?? known);
        return this.#entries.delete(name);
    }

    /** Removes an upstream that has started again under its name, whatever the earlier life held; false when it has not. */
    removeEarlierLife(name: UpstreamName, born: Born | undefined): boolean {
        const entry = this.#entries.get(name);
        return entry !== undefined && compareIncarnations(born, entry.announcement.born) === "later"
            && this.#entries.delete(name);
    }

    /** Ends upstreams that have been silent for too long; they may come back with a later announcement. */
    removeSilent(now: number): UpstreamName[] {
        const silent = [...this.#entries].filter(([, { heardAt }]) => now - heardAt >= SILENT_MS).map(([name]) => name);
        silent.forEach(name => this.#entries.delete(name));
        return silent;
    }

    /** One address serves one upstream: whoever announces it last has it. */
    #replace(address: Address): void {
        for (const [name, { announcement }] of this.#entries) {
            if (announcement.address === address) {
                this.remove(name);
            }
        }
    }

    /** Takes no later word of an upstream that has ended, unless of a later life. */
    end(name: UpstreamName, born?: Born): void {
        if (compareIncarnations(born, this.#ended.get(name)) === "earlier") {
            return;
        }
        this.#ended.set(name, born ?? this.#ended.get(name));
        if (this.#ended.size > MAX_ENDED) {
            this.#ended.delete(this.#ended.keys().next().value!);
        }
    }

    #hasEnded(name: UpstreamName, born: Born | undefined): boolean {
        return this.#ended.has(name) && compareIncarnations(born, this.#ended.get(name)) !== "later";
    }
}
