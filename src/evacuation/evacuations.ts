/**
 * Which halls are evacuated: operators ask that nothing new is sent to the upstreams there, until they take that back.
 *
 * Owns what this daemon knows of it. It comes from the store while this daemon watches it, or with heartbeats and greetings of peers, which
 * carry all of it: a few names at the most. Each word says how far the store had come; the later one holds, whoever brings it, so that an
 * older one that is still on its way changes nothing.
 */
import type { HallName } from "../ids/hallname.js";
import { log } from "../log/log.js";
import { applyHallsChange } from "../policy/halls/applyhallschange.js";
import type { EvacuatedHalls } from "../policy/halls/evacuatedhalls.js";
import type { HallsChange } from "../policy/halls/hallschange.js";
import { isLaterPosition } from "../policy/halls/islaterposition.js";

const logger = log("halls");

/**
 * A store that has come back from a copy has lost what operators wrote last, until they have written it again. A hall that was evacuated
 * stays so for this long, whatever the copy says: to take no work for some seconds longer costs less than to take work that must not
 * come. Milliseconds.
 */
const KEEP_AFTER_COPY_MS = 10_000;

/**
 * Characters of names that are told to peers: a datagram has room for about twice as many. With more halls than that evacuated, daemons learn
 * of it from the store only.
 */
const MAX_TOLD = 700;

/** Nothing is evacuated, as far as is known. */
const NOTHING: EvacuatedHalls = { mark: { era: 0, revision: 0 }, halls: [] };

/** Listeners are called after each change of the halls that are evacuated. */
export class Evacuations {
    readonly #listeners: (() => void)[] = [];
    #known = NOTHING;
    /** An evacuation has been heard of, now or earlier: peers may have to be told. */
    #isHeardOf = false;
    /** Evacuated before the store came back from a copy. */
    #kept: readonly HallName[] = [];
    #release: NodeJS.Timeout | undefined;

    /** Those that are evacuated now, in the order of their names. */
    get halls(): readonly HallName[] {
        return [...new Set([...this.#known.halls, ...this.#kept])].sort();
    }

    /** What peers are told; undefined where no evacuation has been heard of, which is nearly always, or where it would fit into no datagram. */
    get word(): EvacuatedHalls | undefined {
        return this.#isHeardOf && this.#isTellable ? this.#known : undefined;
    }

    get #isTellable(): boolean {
        return this.#known.halls.join().length <= MAX_TOLD;
    }

    isEvacuated(hall: HallName): boolean {
        return this.#known.halls.includes(hall) || this.#kept.includes(hall);
    }

    onChange(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /** Applies what the store says. */
    recordStore(change: HallsChange): void {
        const next = applyHallsChange(this.#known, change);
        if (next !== undefined) {
            this.#set(next);
        }
    }

    /** Applies a peer's word. */
    recordWord(word: EvacuatedHalls | undefined): void {
        if (word === undefined) {
            return;
        }
        this.#isHeardOf = true;
        if (isLaterPosition(word.mark, this.#known.mark)) {
            this.#set(word);
        }
    }

    /** True when the peer whose word it is knows less than this daemon, and something else. */
    isAhead(word: EvacuatedHalls | undefined): boolean {
        const { mark, halls } = this.#known;
        const theirs = word ?? NOTHING;
        return this.#isHeardOf && isLaterPosition(mark, theirs.mark) && halls.join() !== theirs.halls.join();
    }

    stop(): void {
        clearTimeout(this.#release);
    }

    #set(next: EvacuatedHalls): void {
        const before = this.halls;
        if (next.mark.era > this.#known.mark.era && before.length > 0) {
            this.#keep(before);
        }
        this.#known = next;
        this.#isHeardOf ||= next.halls.length > 0;
        this.#tell(before);
    }

    #keep(halls: readonly HallName[]): void {
        this.#kept = halls;
        clearTimeout(this.#release);
        this.#release = setTimeout(() => {
            const before = this.halls;
            this.#kept = [];
            this.#tell(before);
        }, KEEP_AFTER_COPY_MS);
        this.#release.unref();
    }

    #tell(before: readonly HallName[]): void {
        const { halls } = this;
        if (halls.join() === before.join()) {
            return;
        }
        const { era, revision } = this.#known.mark;
        logger.change("The halls that are evacuated have changed.", { halls, before, era, storeRevision: revision });
        if (!this.#isTellable) {
            logger.warn("The evacuated halls can't be told to peers.", "their names are too long together", { halls });
        }
        this.#listeners.forEach(listener => listener());
    }
}
