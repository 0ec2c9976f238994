/** Reads an upstream's report of its load: running, waiting, slots, and pace in hundredths, joined by commas. */
import type { UpstreamLoad } from "./upstreamload.js";

/** In hundredths: work takes as long as usual. */
const USUAL_PACE = 100;
/** The pace may be left out. */
const MIN_FIGURES = 3;

/** Undefined for anything else; no fourth figure means the usual pace. */
export function readLoad(text: string | string[] | undefined): UpstreamLoad | undefined {
    if (typeof text !== "string") {
        return undefined;
    }
    const figures = text.split(",").map(Number);
    const [running, waiting, slots, pace = USUAL_PACE] = figures;
    if (figures.length < MIN_FIGURES || !figures.every(figure => Number.isFinite(figure) && figure >= 0)) {
        return undefined;
    }
    return { running: running!, waiting: waiting!, slots: slots!, pace: pace / USUAL_PACE };
}
