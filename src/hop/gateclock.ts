/** What an ingress knows of a gate's life and clock. */
import type { Incarnation } from "../ids/incarnation.js";

/** A sight of the gate's clock: it showed `gateTime` no later than own time `seenAt`. */
type Sight = { readonly incarnation: Incarnation; readonly gateTime: number; readonly seenAt: number; };

/** Reckons a gate's present time, never later than the truth, since a sight is old when it arrives. */
export class GateClock {
    #sight: Sight | undefined;

    get incarnation(): Incarnation | undefined {
        return this.#sight?.incarnation;
    }

    /** The gate's time now; undefined before the first sight. */
    reckon(now: number): number | undefined {
        return this.#sight === undefined ? undefined : this.#sight.gateTime + now - this.#sight.seenAt;
    }

    /** Records a sight; of two of the same life the one that reckons later is the closer. */
    observe(incarnation: Incarnation, gateTime: number, now: number): void {
        const same = this.#sight?.incarnation === incarnation;
        if (!same || gateTime > this.reckon(now)!) {
            this.#sight = { incarnation, gateTime, seenAt: now };
        }
    }
}
