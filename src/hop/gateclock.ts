/** What an ingress knows of a gate's life and clock. */
import type { Incarnation } from "../ids/incarnation.js";

/** A reading of the gate's clock: it showed `gateTime` no later than own time `seenAt`. */
type Reading = { readonly incarnation: Incarnation; readonly gateTime: number; readonly seenAt: number; };

/** Reckons a gate's present time, never later than the truth, since a reading is old when it arrives. */
export class GateClock {
    #reading: Reading | undefined;

    get incarnation(): Incarnation | undefined {
        return this.#reading?.incarnation;
    }

    /** The gate's time now; undefined before the first reading. */
    reckon(now: number): number | undefined {
        return this.#reading === undefined ? undefined : this.#reading.gateTime + now - this.#reading.seenAt;
    }

    /** Records a reading; of two of the same life the one that gives the later time is the closer. */
    observe(incarnation: Incarnation, gateTime: number, now: number): void {
        const same = this.#reading?.incarnation === incarnation;
        if (!same || gateTime > this.reckon(now)!) {
            this.#reading = { incarnation, gateTime, seenAt: now };
        }
    }
}
