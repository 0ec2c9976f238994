/**
 * Which requests crash the upstreams that run them?
 *
 * An upstream crashes under all that it has under way. The proper requests among them are soon served well somewhere, which clears them;
 * what is under way again at the next crash, and at the one after that, and was not served well between, is taken for the cause and
 * quarantined, at all daemons. So crashes are counted over all daemons: each tells the others what it saw, and a history is the union of
 * what was told, in whichever order. Histories that hold the same have the same mark.
 *
 * One request at ten tries a second, four upstreams, eight daemons: 3 crashes in 12 s, 39 without (test/crashing.test.ts).
 * How many crashes are enough, and for how long, stands in crashlimits.ts.
 */
import type { CrashId } from "../../ids/crashid.js";
import type { RequestKey } from "../../ids/requestkey.js";
import { crashLimits } from "./crashlimits.js";
import type { CrashRecord } from "./crashrecord.js";
import { hashText } from "./hashtext.js";
import type { Standing } from "./standing.js";

/** `changedAt` is the count of changes by then. */
type Entry = { readonly crashes: Set<CrashId>; readonly cleared: Set<CrashId>; lastAt: number; changedAt: number; };

const notCleared = ({ crashes, cleared }: Entry): number => [...crashes].filter(crash => !cleared.has(crash)).length;

/** Of all that is known, and of the suspect requests alone. */
type Marks = { readonly all: number; readonly suspect: number; };

/** Of ids that differ, all daemons keep the same ones. */
const keepFirst = (ids: Set<CrashId>): void => {
    [...ids].sort().slice(crashLimits.maxCrashes).forEach(id => ids.delete(id));
};

const markOf = (request: RequestKey, { crashes, cleared }: Entry): number => {
    let mark = 0;
    crashes.forEach(crash => mark ^= hashText(`${request} ${crash}`));
    cleared.forEach(crash => mark ^= hashText(`${request} ${crash} cleared`));
    return mark;
};

/** Pure; times are milliseconds on the daemon's clock. */
export class CrashHistory {
    readonly #entries = new Map<RequestKey, Entry>();
    #changes = 0;
    /** Undefined while they must be found anew. */
    #marks: Marks | undefined;

    get isEmpty(): boolean {
        return this.#entries.size === 0;
    }

    /** The same wherever the same is known; undefined of an empty history. */
    get mark(): number | undefined {
        return this.isEmpty ? undefined : this.#findMarks().all;
    }

    /** The same wherever the same is known of suspect and quarantined requests; undefined where there are none. */
    get suspectMark(): number | undefined {
        const { suspect } = this.#findMarks();
        return suspect === 0 ? undefined : suspect;
    }

    /** How many changes there have been. */
    get changes(): number {
        return this.#changes;
    }

    /** Applies what is told of requests; returns those of which something is new. */
    merge(records: readonly CrashRecord[], now: number): RequestKey[] {
        const changed = records.filter(record => record.ageMs < crashLimits.keepMs && this.#mergeOne(record, now));
        this.forgetOld(now);
        this.#bound();
        return changed.map(({ request }) => request);
    }

    /** Forgets requests whose last crash is too long ago. */
    forgetOld(now: number): void {
        for (const [request, { lastAt }] of this.#entries) {
            if (now - lastAt >= crashLimits.keepMs) {
                this.#delete(request);
            }
        }
    }

    /** Records that a request was served well: the crashes that are known so far were not its doing. False when there were none. */
    clear(request: RequestKey): boolean {
        const entry = this.#entries.get(request);
        if (entry === undefined || notCleared(entry) === 0) {
            return false;
        }
        entry.crashes.forEach(crash => entry.cleared.add(crash));
        this.#recordChange(entry);
        return true;
    }

    /** For how long the request is quarantined yet, in milliseconds; undefined for one that is not. */
    quarantinedForMs(request: RequestKey, now: number): number | undefined {
        const entry = this.#entries.get(request);
        if (entry === undefined || notCleared(entry) < crashLimits.quarantineAt) {
            return undefined;
        }
        const leftMs = entry.lastAt + crashLimits.holdMs - now;
        return leftMs > 0 ? leftMs : undefined;
    }

    standing(request: RequestKey, now: number): Standing {
        const entry = this.#entries.get(request);
        if (entry === undefined || notCleared(entry) < crashLimits.suspectAt) {
            return "free";
        }
        return this.quarantinedForMs(request, now) === undefined ? "suspect" : "quarantined";
    }

    /** How many requests are quarantined. */
    countQuarantined(now: number): number {
        return [...this.#entries.keys()].filter(request => this.quarantinedForMs(request, now) !== undefined).length;
    }

    find(request: RequestKey, now: number): CrashRecord | undefined {
        const entry = this.#entries.get(request);
        if (entry === undefined) {
            return undefined;
        }
        const ageMs = Math.max(0, Math.round(now - entry.lastAt));
        return { request, crashes: [...entry.crashes], cleared: [...entry.cleared], ageMs };
    }

    /** What has changed after so many changes; all that is known after none. */
    changedAfter(changes: number, now: number): CrashRecord[] {
        const changed = [...this.#entries].filter(([, { changedAt }]) => changedAt > changes);
        return changed.map(([request]) => this.find(request, now)!);
    }

    #mergeOne({ request, crashes, cleared, ageMs }: CrashRecord, now: number): boolean {
        const entry = this.#entries.get(request)
            ?? { crashes: new Set(), cleared: new Set(), lastAt: now - ageMs, changedAt: 0 };
        const before = [...entry.crashes, "/", ...entry.cleared].join();
        // Only a crash that is new here moves the time: what lies in the store has the age that it was written with.
        if (crashes.some(crash => !entry.crashes.has(crash))) {
            entry.lastAt = Math.max(entry.lastAt, now - ageMs);
        }
        crashes.forEach(crash => entry.crashes.add(crash));
        cleared.forEach(crash => entry.cleared.add(crash));
        keepFirst(entry.crashes);
        keepFirst(entry.cleared);
        this.#entries.set(request, entry);
        const isChanged = before !== [...entry.crashes, "/", ...entry.cleared].join();
        if (isChanged) {
            this.#recordChange(entry);
        }
        return isChanged;
    }

    #bound(): void {
        const excess = this.#entries.size - crashLimits.maxRequests;
        if (excess > 0) {
            const order = [...this.#entries].sort(([, a], [, b]) =>
                notCleared(a) - notCleared(b) || a.lastAt - b.lastAt
            );
            order.slice(0, excess).forEach(([request]) => this.#delete(request));
        }
    }

    #delete(request: RequestKey): void {
        this.#entries.delete(request);
        this.#marks = undefined;
    }

    #recordChange(entry: Entry): void {
        this.#changes += 1;
        entry.changedAt = this.#changes;
        this.#marks = undefined;
    }

    /** Whatever the order. */
    #findMarks(): Marks {
        return this.#marks ??= this.#makeMarks();
    }

    #makeMarks(): Marks {
        let [all, suspect] = [0, 0];
        for (const [request, entry] of this.#entries) {
            const mark = markOf(request, entry);
            all ^= mark;
            suspect ^= notCleared(entry) >= crashLimits.suspectAt ? mark : 0;
        }
        return { all: all >>> 0, suspect: suspect >>> 0 };
    }
}
