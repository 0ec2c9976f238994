/** Holds the upstreams beside this daemon, as their announcements report them, and those that have ended. */
import type { Address } from "../ids/address.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { compareIncarnations } from "../policy/membership/compareincarnations.js";
import type { HostedUpstream } from "../wire/hostedupstream.js";
import type { Announcement } from "./announcement.js";
import type { StartTime } from "./starttime.js";

/** An upstream without an announcement for this time has ended. Longer than three announcement intervals. */
const ANNOUNCEMENT_TIMEOUT_MS = 7000;
/** Maximum number of ended upstreams to remember, so that a delayed announcement does not register one again. */
const MAX_ENDED_NAMES = 256;

/** `isLeaving` is true if the upstream's responses report that it is leaving permanently, whatever it announces. */
type Entry = { announcement: Announcement; lastAnnouncedAt: number; isLeaving: boolean; };

/** Does no I/O and reads no clock. Times are milliseconds on the daemon's clock; start times are on the upstream's. */
export class LocalUpstreamTable {
    readonly #entries = new Map<UpstreamName, Entry>();
    /** The start time of the last incarnation that has ended, by upstream; undefined if it reported none. */
    readonly #endedStartTimes = new Map<UpstreamName, StartTime | undefined>();

    get all(): HostedUpstream[] {
        return [...this.#entries].map(([name, { announcement, isLeaving }]) => ({
            name,
            service: announcement.service,
            address: announcement.address,
            slots: announcement.slots,
            draining: isLeaving || announcement.state === "draining",
        }));
    }

    /** Records an announcement; returns false if it is ignored or reports nothing new. */
    record(name: UpstreamName, announcement: Announcement, now: number): boolean {
        if (this.#hasEnded(name, announcement.born)) {
            return false;
        }
        const entry = this.#entries.get(name);
        if (entry === undefined) {
            this.#evictByAddress(announcement.address);
            this.#endedStartTimes.delete(name);
            this.#entries.set(name, { announcement, lastAnnouncedAt: now, isLeaving: false });
            return true;
        }
        if (compareIncarnations(announcement.born, entry.announcement.born) === "earlier") {
            return false;
        }
        entry.lastAnnouncedAt = now;
        if (announcement.sequence <= entry.announcement.sequence) {
            return false;
        }
        const previous = entry.announcement;
        entry.announcement = announcement;
        return previous.state !== announcement.state || previous.slots !== announcement.slots
            || previous.address !== announcement.address || previous.service !== announcement.service;
    }

    /**
     * Records that an upstream reports in its responses that it is leaving permanently; returns false if it is not
     * registered or this is recorded already.
     */
    recordLeaving(name: UpstreamName): boolean {
        const entry = this.#entries.get(name);
        if (entry === undefined || entry.isLeaving) {
            return false;
        }
        entry.isLeaving = true;
        return true;
    }

    /** Returns true if `name` is new and another upstream is registered at the address. */
    isContested(name: UpstreamName, address: Address): boolean {
        const isNew = !this.#entries.has(name) && !this.#endedStartTimes.has(name);
        return isNew && [...this.#entries.values()].some(({ announcement }) => announcement.address === address);
    }

    /**
     * Removes an upstream that is ending or has ended, and records that it has ended; returns false if it is not
     * registered or a later incarnation is.
     */
    remove(name: UpstreamName, startTime?: StartTime): boolean {
        const knownStartTime = this.#entries.get(name)?.announcement.born;
        if (compareIncarnations(startTime, knownStartTime) === "earlier") {
            return false;
        }
        this.recordEnded(name, startTime ?? knownStartTime);
        return this.#entries.delete(name);
    }

    /** Removes the earlier incarnation of an upstream that restarted under its name; returns false if it did not. */
    removeEarlierIncarnation(name: UpstreamName, startTime: StartTime | undefined): boolean {
        const entry = this.#entries.get(name);
        return entry !== undefined && compareIncarnations(startTime, entry.announcement.born) === "later"
            && this.#entries.delete(name);
    }

    /** Removes and returns the upstreams whose announcements timed out. A later announcement registers them again. */
    removeUnresponsive(now: number): UpstreamName[] {
        const unresponsive = [...this.#entries].filter(([, { lastAnnouncedAt }]) =>
            now - lastAnnouncedAt >= ANNOUNCEMENT_TIMEOUT_MS
        ).map(([name]) => name);
        unresponsive.forEach(name => this.#entries.delete(name));
        return unresponsive;
    }

    /** Removes the upstream at an address where another one announced itself; the last announcement counts. */
    #evictByAddress(address: Address): void {
        for (const [name, { announcement }] of this.#entries) {
            if (announcement.address === address) {
                this.remove(name);
            }
        }
    }

    /** Records that an upstream has ended: from now on only announcements of a later incarnation are accepted. */
    recordEnded(name: UpstreamName, startTime?: StartTime): void {
        if (compareIncarnations(startTime, this.#endedStartTimes.get(name)) === "earlier") {
            return;
        }
        this.#endedStartTimes.set(name, startTime ?? this.#endedStartTimes.get(name));
        if (this.#endedStartTimes.size > MAX_ENDED_NAMES) {
            this.#endedStartTimes.delete(this.#endedStartTimes.keys().next().value!);
        }
    }

    #hasEnded(name: UpstreamName, startTime: StartTime | undefined): boolean {
        return this.#endedStartTimes.has(name)
            && compareIncarnations(startTime, this.#endedStartTimes.get(name)) !== "later";
    }
}
