/**
 * Tells operators of evacuated halls in which there is no upstream: such a name is most likely mistyped.
 *
 * A daemon that watches the store says so, once for each name. One that does not watch yet may know too few daemons, so it is asked again
 * when it begins to.
 */
import type { HallName } from "../ids/hallname.js";
import { log } from "../log/log.js";

const logger = log("halls");

/** One for each daemon. */
export class UnknownHalls {
    #told: ReadonlySet<HallName> = new Set();

    /** To be called when one of these has changed; returns the names that were logged. */
    check(evacuated: readonly HallName[], known: ReadonlySet<HallName>, isWatching: boolean): HallName[] {
        const unknown = evacuated.filter(hall => !known.has(hall));
        const untold = isWatching ? unknown.filter(hall => !this.#told.has(hall)) : [];
        this.#told = new Set(isWatching ? unknown : unknown.filter(hall => this.#told.has(hall)));
        if (untold.length > 0) {
            logger.warn("A hall is evacuated in which there is no upstream.", "nothing is changed by that", {
                unknown: untold,
            });
        }
        return untold;
    }
}
