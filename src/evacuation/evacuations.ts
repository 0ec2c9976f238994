/**
 * Holds the halls that operators have evacuated: no new requests are sent to the upstreams there until the operators
 * end the evacuation.
 *
 * Owns the state that this daemon knows. The state comes from the store while this daemon watches it, and from
 * heartbeats and hellos of peers, which carry the complete state: a few names at most. Each state has its position in
 * the history of the store. The latest position wins, whatever its source, so a stale state that arrives late changes
 * nothing.
 */
import type { HallName } from "../ids/hallname.js";
import { log } from "../log/log.js";
import { applyHallsChange } from "../policy/halls/applyhallschange.js";
import type { EvacuatedHalls } from "../policy/halls/evacuatedhalls.js";
import type { HallsChange } from "../policy/halls/hallschange.js";
import { isLaterPosition } from "../policy/halls/islaterposition.js";

const logger = log("halls");

/**
 * Time for which evacuated halls stay evacuated after a restore of the store from a backup, regardless of what
 * the backup contains. The backup lacks the operators' latest changes until they write them again. A hall without
 * requests for some more seconds costs less than requests in a hall that must not get any.
 */
const KEEP_AFTER_RESTORE_MS = 10_000;

/**
 * Limit for the total length of the names that are sent to peers; a datagram holds about twice as many characters.
 * Beyond the limit, daemons get the evacuated halls from the store only.
 */
const MAX_PROPAGATED_CHARS = 700;

/** The initial state, earlier than any state of the store. */
const NO_EVACUATIONS: EvacuatedHalls = { mark: { era: 0, revision: 0 }, halls: [] };

/** Calls its listeners after each change of the evacuated halls. */
export class Evacuations {
    readonly #listeners: (() => void)[] = [];
    #known = NO_EVACUATIONS;
    /** True once any evacuation is known, even if it has ended: peers may have to be notified. */
    #hasSeenEvacuation = false;
    /** Halls that were evacuated before the store was restored from a backup. */
    #keptHalls: readonly HallName[] = [];
    #keepTimer: NodeJS.Timeout | undefined;

    /** The halls that are evacuated at present, sorted by name. */
    get halls(): readonly HallName[] {
        return [...new Set([...this.#known.halls, ...this.#keptHalls])].sort();
    }

    /**
     * The state that is sent to peers; undefined if no evacuation has ever been known, which is the usual case, or if
     * it is too long.
     */
    get stateForPeers(): EvacuatedHalls | undefined {
        return this.#hasSeenEvacuation && this.#fitsDatagram ? this.#known : undefined;
    }

    get #fitsDatagram(): boolean {
        return this.#known.halls.join().length <= MAX_PROPAGATED_CHARS;
    }

    isEvacuated(hall: HallName): boolean {
        return this.#known.halls.includes(hall) || this.#keptHalls.includes(hall);
    }

    /** Adds a listener that is called when the evacuated halls have changed. */
    onChange(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /** Applies a change that the store reports. */
    recordStoreChange(change: HallsChange): void {
        const next = applyHallsChange(this.#known, change);
        if (next !== undefined) {
            this.#setKnown(next);
        }
    }

    /** Applies the state that a peer sent; undefined if the peer sent none. */
    recordPropagated(peerState: EvacuatedHalls | undefined): void {
        if (peerState === undefined) {
            return;
        }
        this.#hasSeenEvacuation = true;
        if (isLaterPosition(peerState.mark, this.#known.mark)) {
            this.#setKnown(peerState);
        }
    }

    /** Returns true if the peer's state is older than this daemon's and names other halls. */
    isPeerBehind(peerState: EvacuatedHalls | undefined): boolean {
        const { mark, halls } = this.#known;
        const comparedState = peerState ?? NO_EVACUATIONS;
        return this.#hasSeenEvacuation && isLaterPosition(mark, comparedState.mark)
            && halls.join() !== comparedState.halls.join();
    }

    stop(): void {
        clearTimeout(this.#keepTimer);
    }

    #setKnown(next: EvacuatedHalls): void {
        const before = this.halls;
        if (next.mark.era > this.#known.mark.era && before.length > 0) {
            this.#keepAfterRestore(before);
        }
        this.#known = next;
        this.#hasSeenEvacuation ||= next.halls.length > 0;
        this.#notifyIfChanged(before);
    }

    /** Keeps the halls evacuated for KEEP_AFTER_RESTORE_MS, including those still kept after an earlier restore. */
    #keepAfterRestore(halls: readonly HallName[]): void {
        this.#keptHalls = halls;
        clearTimeout(this.#keepTimer);
        this.#keepTimer = setTimeout(() => {
            const before = this.halls;
            this.#keptHalls = [];
            this.#notifyIfChanged(before);
        }, KEEP_AFTER_RESTORE_MS);
        this.#keepTimer.unref();
    }

    #notifyIfChanged(before: readonly HallName[]): void {
        const { halls } = this;
        if (halls.join() === before.join()) {
            return;
        }
        const { era, revision } = this.#known.mark;
        logger.change("The evacuated halls have changed.", { halls, before, era, storeRevision: revision });
        if (!this.#fitsDatagram) {
            logger.warn("The evacuated halls are not sent to peers.", "their names are too long for a datagram", {
                halls,
            });
        }
        this.#listeners.forEach(listener => listener());
    }
}
