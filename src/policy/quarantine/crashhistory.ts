/**
 * Decides which requests are suspected of crashing upstreams, and which are quarantined.
 *
 * The inputs are records of requests that were in progress when an upstream crashed, and of requests that were served
 * successfully. At a crash, harmless requests are in progress as well. They are soon served successfully elsewhere,
 * which clears them of the crash. A request that is in progress at three crashes and is not served successfully in
 * between is taken for the cause.
 *
 * Crashes are counted across daemons, so that a request is quarantined at all of them. Each daemon notifies the others
 * of the crashes that it observed, and a history is the union of all received records, in any order. Histories with the
 * same content have the same digest.
 *
 * With one crashing request sent ten times a second, four upstreams and eight daemons, there are 3 crashes in 12 s, and
 * 39 without the quarantine (test/crashing.test.ts). The thresholds and times are in crashlimits.ts.
 */
import type { CrashId } from "../../ids/crashid.js";
import type { RequestKey } from "../../ids/requestkey.js";
import { crashLimits } from "./crashlimits.js";
import type { CrashRecord } from "./crashrecord.js";
import { hashText } from "./hashtext.js";
import type { QuarantineStatus } from "./quarantinestatus.js";

/**
 * The known state of one request. `changeNumber` is the history's count of changes after the last change of this entry.
 */
type Entry = {
    readonly crashes: Set<CrashId>;
    readonly cleared: Set<CrashId>;
    lastCrashAt: number;
    changeNumber: number;
};

const countUncleared = ({ crashes, cleared }: Entry): number =>
    [...crashes].filter(crash => !cleared.has(crash)).length;

/** Digests of all entries, and of those of suspect and quarantined requests only. */
type Digests = { readonly all: number; readonly suspect: number; };

/** Drops all but the lowest ids, so that all daemons keep the same ones. */
const keepLowestIds = (ids: Set<CrashId>): void => {
    [...ids].sort().slice(crashLimits.maxCrashesPerRequest).forEach(id => ids.delete(id));
};

const digestOf = (request: RequestKey, { crashes, cleared }: Entry): number => {
    let digest = 0;
    crashes.forEach(crash => digest ^= hashText(`${request} ${crash}`));
    cleared.forEach(crash => digest ^= hashText(`${request} ${crash} cleared`));
    return digest;
};

/** Holds the crash records of all requests, without side effects; times are milliseconds on the daemon's clock. */
export class CrashHistory {
    readonly #entries = new Map<RequestKey, Entry>();
    #changeCount = 0;
    /** Cached digests; undefined if they have to be computed again. */
    #digests: Digests | undefined;

    get isEmpty(): boolean {
        return this.#entries.size === 0;
    }

    /** Digest of the history, equal for equal content; undefined if the history is empty. */
    get digest(): number | undefined {
        return this.isEmpty ? undefined : this.#currentDigests().all;
    }

    /** Digest of suspect and quarantined requests, equal for equal content; undefined if there are none. */
    get suspectDigest(): number | undefined {
        const { suspect } = this.#currentDigests();
        return suspect === 0 ? undefined : suspect;
    }

    /** Number of changes so far. */
    get changeCount(): number {
        return this.#changeCount;
    }

    /** Merges records into the history and returns the requests whose records contained something new. */
    merge(records: readonly CrashRecord[], now: number): RequestKey[] {
        const changed = records.filter(record => record.ageMs < crashLimits.retentionMs && this.#mergeOne(record, now));
        this.evictExpired(now);
        this.#evictExcess();
        return changed.map(({ request }) => request);
    }

    /** Evicts requests whose retention period after the last crash has expired. */
    evictExpired(now: number): void {
        for (const [request, { lastCrashAt }] of this.#entries) {
            if (now - lastCrashAt >= crashLimits.retentionMs) {
                this.#delete(request);
            }
        }
    }

    /**
     * Records that a request was served successfully, which clears it of all crashes known so far. Returns false if
     * there was nothing to clear.
     */
    clear(request: RequestKey): boolean {
        const entry = this.#entries.get(request);
        if (entry === undefined || countUncleared(entry) === 0) {
            return false;
        }
        entry.crashes.forEach(crash => entry.cleared.add(crash));
        this.#recordChange(entry);
        return true;
    }

    /**
     * Returns how much longer the request stays quarantined, in milliseconds, or undefined if it is not quarantined.
     */
    quarantinedForMs(request: RequestKey, now: number): number | undefined {
        const entry = this.#entries.get(request);
        if (entry === undefined || countUncleared(entry) < crashLimits.quarantineThreshold) {
            return undefined;
        }
        const remainingMs = entry.lastCrashAt + crashLimits.quarantineMs - now;
        return remainingMs > 0 ? remainingMs : undefined;
    }

    statusOf(request: RequestKey, now: number): QuarantineStatus {
        const entry = this.#entries.get(request);
        if (entry === undefined || countUncleared(entry) < crashLimits.suspectThreshold) {
            return "free";
        }
        return this.quarantinedForMs(request, now) === undefined ? "suspect" : "quarantined";
    }

    /** Returns the number of quarantined requests. */
    countQuarantined(now: number): number {
        return [...this.#entries.keys()].filter(request => this.quarantinedForMs(request, now) !== undefined).length;
    }

    recordOf(request: RequestKey, now: number): CrashRecord | undefined {
        const entry = this.#entries.get(request);
        if (entry === undefined) {
            return undefined;
        }
        const ageMs = Math.max(0, Math.round(now - entry.lastCrashAt));
        return { request, crashes: [...entry.crashes], cleared: [...entry.cleared], ageMs };
    }

    /** Returns the records that changed after the first `changeCount` changes; for 0, all records. */
    recordsChangedAfter(changeCount: number, now: number): CrashRecord[] {
        const changed = [...this.#entries].filter(([, { changeNumber }]) => changeNumber > changeCount);
        return changed.map(([request]) => this.recordOf(request, now)!);
    }

    #mergeOne({ request, crashes, cleared, ageMs }: CrashRecord, now: number): boolean {
        const entry = this.#entries.get(request)
            ?? { crashes: new Set(), cleared: new Set(), lastCrashAt: now - ageMs, changeNumber: 0 };
        const idsBefore = [...entry.crashes, "/", ...entry.cleared].join();
        // Only a new crash updates the time, because records in the store keep the age that they were written with.
        if (crashes.some(crash => !entry.crashes.has(crash))) {
            entry.lastCrashAt = Math.max(entry.lastCrashAt, now - ageMs);
        }
        crashes.forEach(crash => entry.crashes.add(crash));
        cleared.forEach(crash => entry.cleared.add(crash));
        keepLowestIds(entry.crashes);
        keepLowestIds(entry.cleared);
        this.#entries.set(request, entry);
        const isChanged = idsBefore !== [...entry.crashes, "/", ...entry.cleared].join();
        if (isChanged) {
            this.#recordChange(entry);
        }
        return isChanged;
    }

    #evictExcess(): void {
        const excess = this.#entries.size - crashLimits.maxRequests;
        if (excess > 0) {
            const fewestCrashesFirst = [...this.#entries].sort(([, a], [, b]) =>
                countUncleared(a) - countUncleared(b) || a.lastCrashAt - b.lastCrashAt
            );
            fewestCrashesFirst.slice(0, excess).forEach(([request]) => this.#delete(request));
        }
    }

    #delete(request: RequestKey): void {
        this.#entries.delete(request);
        this.#digests = undefined;
    }

    #recordChange(entry: Entry): void {
        this.#changeCount += 1;
        entry.changeNumber = this.#changeCount;
        this.#digests = undefined;
    }

    /** Returns the cached digests; they do not depend on the order of entries. */
    #currentDigests(): Digests {
        return this.#digests ??= this.#computeDigests();
    }

    #computeDigests(): Digests {
        let [all, suspect] = [0, 0];
        for (const [request, entry] of this.#entries) {
            const digest = digestOf(request, entry);
            all ^= digest;
            suspect ^= countUncleared(entry) >= crashLimits.suspectThreshold ? digest : 0;
        }
        return { all: all >>> 0, suspect: suspect >>> 0 };
    }
}
