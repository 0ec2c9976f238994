/**
 * Logs a warning if an evacuated hall has no upstreams: its name is most likely mistyped.
 *
 * Only a daemon that watches the store logs it, once for each name. A daemon that does not watch yet may not know all
 * daemons, so the check is repeated when it starts to watch.
 */
import type { HallName } from "../ids/hallname.js";
import { log } from "../log/log.js";

const logger = log("halls");

/** Remembers which halls a daemon has already reported. */
export class UnknownHalls {
    #reported: ReadonlySet<HallName> = new Set();

    /**
     * Logs the halls that have not been reported yet and returns them. The owner calls it when one of the parameters
     * has changed.
     */
    check(evacuated: readonly HallName[], hallsWithUpstreams: ReadonlySet<HallName>, isWatching: boolean): HallName[] {
        const unknown = evacuated.filter(hall => !hallsWithUpstreams.has(hall));
        const unreported = isWatching ? unknown.filter(hall => !this.#reported.has(hall)) : [];
        this.#reported = new Set(isWatching ? unknown : unknown.filter(hall => this.#reported.has(hall)));
        if (unreported.length > 0) {
            logger.warn(
                "Evacuated halls have no upstreams.",
                "the names may be mistyped; the evacuation has no effect",
                {
                    unknown: unreported,
                },
            );
        }
        return unreported;
    }
}
