/**
 * Which requests end the upstreams that run them?
 *
 * An upstream that ends without a plan ends under all that it has under way. The proper ones among them are soon served well somewhere,
 * which clears them; what is under way again at the next end, and at the one after that, with no good end between, is taken for the cause
 * and refused, at all daemons. So the ends are counted over all daemons: each tells the others what it saw, and a history is the union of
 * what was told, in whichever order. A history made of two that know the same has the same mark.
 *
 * How many ends are enough, and for how long, stands in crashlimits.ts.
 */
import type { CrashId } from "../../ids/crashid.js";
import type { RequestKey } from "../../ids/requestkey.js";
import { crashLimits } from "./crashlimits.js";
import type { CrashRecord } from "./crashrecord.js";
import { hashText } from "./hashtext.js";
import type { Standing } from "./standing.js";

type Entry = { readonly crashes: Set<CrashId>; readonly cleared: Set<CrashId>; lastAt: number; };

const notCleared = ({ crashes, cleared }: Entry): number => [...crashes].filter(crash => !cleared.has(crash)).length;

/** Of ids that differ, all daemons keep the same ones. */
const keepFirst = (ids: Set<CrashId>): void => {
    [...ids].sort().slice(crashLimits.maxCrashes).forEach(id => ids.delete(id));
};

/** Pure; times are milliseconds on the daemon's clock. */
export class CrashHistory {
    readonly #entries = new Map<RequestKey, Entry>();

    get isEmpty(): boolean {
        return this.#entries.size === 0;
    }

    /** The same wherever the same is known; undefined of an empty history. */
    get mark(): number | undefined {
        let mark = 0;
        for (const [request, { crashes, cleared }] of this.#entries) {
            crashes.forEach(crash => mark ^= hashText(`${request} ${crash}`));
            cleared.forEach(crash => mark ^= hashText(`${request} ${crash} cleared`));
        }
        return this.isEmpty ? undefined : mark >>> 0;
    }

    /** Applies what is told of requests; returns those of which something is new. */
    merge(records: readonly CrashRecord[], now: number): RequestKey[] {
        const changed = records.filter(record => record.ageMs < crashLimits.keepMs && this.#mergeOne(record, now));
        this.#bound(now);
        return changed.map(({ request }) => request);
    }

    /** Records that a request was served well: the ends that are known so far were not its doing. False when there were none. */
    clear(request: RequestKey): boolean {
        const entry = this.#entries.get(request);
        if (entry === undefined || notCleared(entry) === 0) {
            return false;
        }
        entry.crashes.forEach(crash => entry.cleared.add(crash));
        return true;
    }

    /** For how long the request is refused yet, in milliseconds; undefined for one that is not. */
    heldForMs(request: RequestKey, now: number): number | undefined {
        const entry = this.#entries.get(request);
        if (entry === undefined || notCleared(entry) < crashLimits.refuseAt) {
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
        return this.heldForMs(request, now) === undefined ? "suspect" : "refused";
    }

    /** How many requests are refused. */
    held(now: number): number {
        return [...this.#entries.keys()].filter(request => this.heldForMs(request, now) !== undefined).length;
    }

    find(request: RequestKey, now: number): CrashRecord | undefined {
        const entry = this.#entries.get(request);
        if (entry === undefined) {
            return undefined;
        }
        const ageMs = Math.max(0, Math.round(now - entry.lastAt));
        return { request, crashes: [...entry.crashes], cleared: [...entry.cleared], ageMs };
    }

    /** All that is known. */
    all(now: number): CrashRecord[] {
        return [...this.#entries.keys()].map(request => this.find(request, now)!);
    }

    #mergeOne({ request, crashes, cleared, ageMs }: CrashRecord, now: number): boolean {
        const entry = this.#entries.get(request) ?? { crashes: new Set(), cleared: new Set(), lastAt: -Infinity };
        const before = [...entry.crashes, "/", ...entry.cleared].join();
        crashes.forEach(crash => entry.crashes.add(crash));
        cleared.forEach(crash => entry.cleared.add(crash));
        keepFirst(entry.crashes);
        keepFirst(entry.cleared);
        entry.lastAt = Math.max(entry.lastAt, now - ageMs);
        this.#entries.set(request, entry);
        return before !== [...entry.crashes, "/", ...entry.cleared].join();
    }

    #bound(now: number): void {
        for (const [request, { lastAt }] of this.#entries) {
            if (now - lastAt >= crashLimits.keepMs) {
                this.#entries.delete(request);
            }
        }
        const excess = this.#entries.size - crashLimits.maxRequests;
        if (excess > 0) {
            const order = [...this.#entries].sort(([, a], [, b]) =>
                notCleared(a) - notCleared(b) || a.lastAt - b.lastAt
            );
            order.slice(0, excess).forEach(([request]) => this.#entries.delete(request));
        }
    }
}
