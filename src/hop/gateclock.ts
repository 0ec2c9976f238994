/** Tracks the incarnation and the clock of a gate, as known to an ingress. */
import type { Incarnation } from "../ids/incarnation.js";

/** A reading of the gate's clock: it showed `gateTime` at or before `seenAt` on this daemon's clock. */
type Reading = { readonly incarnation: Incarnation; readonly gateTime: number; readonly seenAt: number; };

/** Times at which a reading was requested and arrived, in milliseconds on this daemon's clock. */
type ReadingTimes = { readonly askedAt: number; readonly now: number; };

/**
 * Estimates a gate's present time. A reading is already old when it arrives, so the estimate is never ahead of the
 * gate's clock while both clocks run at the same rate. If the gate's clock was paused with its host, or runs slower,
 * the next reading corrects the estimate.
 */
export class GateClock {
    #reading: Reading | undefined;

    /** The gate's incarnation, or undefined before the first reading. */
    get incarnation(): Incarnation | undefined {
        return this.#reading?.incarnation;
    }

    /** Returns the gate's estimated present time, or undefined before the first reading. */
    estimate(now: number): number | undefined {
        return this.#reading === undefined ? undefined : this.#reading.gateTime + now - this.#reading.seenAt;
    }

    /**
     * Records a reading. Of two readings from one incarnation, the one that gives the later time is closer to the
     * gate's clock and is kept, unless the gate's clock can't have reached that time yet.
     */
    observe(incarnation: Incarnation, gateTime: number, { askedAt, now }: ReadingTimes): void {
        const estimated = this.#reading?.incarnation === incarnation ? this.estimate(now)! : -Infinity;
        const latest = gateTime + now - askedAt;
        if (gateTime > estimated || estimated > latest) {
            this.#reading = { incarnation, gateTime, seenAt: now };
        }
    }
}
