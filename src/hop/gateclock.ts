/** What an ingress knows of a gate's life and clock. */
import type { Incarnation } from "../ids/incarnation.js";

/** A reading of the gate's clock: it showed `gateTime` no later than own time `seenAt`. */
type Reading = { readonly incarnation: Incarnation; readonly gateTime: number; readonly seenAt: number; };

/** When a reading was asked for and when it came, on this daemon's clock, in milliseconds. */
type Span = { readonly askedAt: number; readonly now: number; };

/**
 * Reckons a gate's present time, never later than the truth while both clocks go alike, since a reading is old when it arrives. The gate's may
 * have stood still, with its host, or go slower: then the next reading says so.
 */
export class GateClock {
    #reading: Reading | undefined;

    get incarnation(): Incarnation | undefined {
        return this.#reading?.incarnation;
    }

    /** The gate's time now; undefined before the first reading. */
    reckon(now: number): number | undefined {
        return this.#reading === undefined ? undefined : this.#reading.gateTime + now - this.#reading.seenAt;
    }

    /** Records a reading; of two of the same life the one that gives the later time is the closer, unless the gate can't have come to it. */
    observe(incarnation: Incarnation, gateTime: number, { askedAt, now }: Span): void {
        const reckoned = this.#reading?.incarnation === incarnation ? this.reckon(now)! : -Infinity;
        const latest = gateTime + now - askedAt;
        if (gateTime > reckoned || reckoned > latest) {
            this.#reading = { incarnation, gateTime, seenAt: now };
        }
    }
}
