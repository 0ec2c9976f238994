/** Draws the requests of a scenario, the same for the same seed. */
import { seededRandom } from "../standin/seededrandom.js";
import { drawServiceTime } from "../standin/servicetime.js";
import type { Arrival } from "./arrival.js";
import type { Scenario } from "./scenario.js";

const URGENT_SHARE = 0.2;
const ONCE_SHARE = 0.2;

const typeOf = (draw: number): Arrival["type"] => {
    if (draw < URGENT_SHARE) {
        return "urgent";
    }
    return draw < URGENT_SHARE + ONCE_SHARE ? "once" : "normal";
};

/** Poisson arrivals; `capacity` is requests a second of all slots together. */
export function makeArrivals(
    scenario: Scenario,
    seconds: number,
    capacity: number,
    meanMs: number,
    seed: number,
): Arrival[] {
    const random = seededRandom(seed);
    const endMs = seconds * 1000;
    const arrivals: Arrival[] = [];
    let at = 0;
    while (at < endMs) {
        const inRush = at > endMs / 3 && at < endMs * 2 / 3;
        const load = inRush ? scenario.rush ?? scenario.load : scenario.load;
        const serviceMs = drawServiceTime(meanMs, scenario.spread, random());
        arrivals.push({ at, serviceMs, type: typeOf(random()) });
        at += -Math.log(1 - random()) * 1000 / (load * capacity);
    }
    return arrivals;
}
