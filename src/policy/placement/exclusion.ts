/**
 * Decides for how long an upstream is excluded from placement after its gate reported that it accepts no requests.
 *
 * Each cause has its own duration in milliseconds; if periods overlap, the latest end counts. Unresponsive gates are
 * handled by policy/failure/suspicion.ts instead, because that exclusion ends as soon as the gate responds.
 */

/**
 * - `leaving`: the gate reported that the upstream is leaving.
 * - `absent`: the gate does not know the upstream.
 * - `stopping`: the gate's daemon is shutting down.
 * - `cold`: the upstream is cold and has received all requests that it can serve for now.
 */
type Cause = "leaving" | "absent" | "stopping" | "cold";

const EXCLUSION_MS: Readonly<Record<Cause, number>> = {
    /** Limited, because a drain can be cancelled; the upstream then gets requests again. */
    leaving: 2000,
    /** Short, because a gate that has just started learns its upstream at once. */
    absent: 100,
    /** Other daemons use the upstream's capacity meanwhile; without a pause each refused daemon would retry at once. */
    cold: 300,
    /** Longer than idle connections to a stopping daemon stay open. */
    stopping: 5000,
};

/** Holds the exclusion period of one upstream; times are milliseconds on the daemon's clock. */
export class Exclusion {
    #activeUntil = 0;

    /** Excludes the upstream from `now` for the duration of the cause, unless it is already excluded for longer. */
    start(cause: Cause, now: number): void {
        this.#activeUntil = Math.max(this.#activeUntil, now + EXCLUSION_MS[cause]);
    }

    isActive(now: number): boolean {
        return now < this.#activeUntil;
    }
}
