/**
 * Reads an upstream's load report: running requests, queued requests, slots and pace in hundredths, separated by
 * commas.
 */
import type { UpstreamLoad } from "./upstreamload.js";

/** States that the present service time is the usual one. */
const USUAL_PACE_HUNDREDTHS = 100;
/** Excludes the pace, which is optional. */
const MIN_FIELDS = 3;

/** Returns the report, or undefined if it is unreadable; the pace is the usual one if it is omitted. */
export function readLoad(text: string | string[] | undefined): UpstreamLoad | undefined {
    if (typeof text !== "string") {
        return undefined;
    }
    const fields = text.split(",").map(Number);
    const [running, queued, slots, pace = USUAL_PACE_HUNDREDTHS] = fields;
    if (fields.length < MIN_FIELDS || !fields.every(field => Number.isFinite(field) && field >= 0)) {
        return undefined;
    }
    return { running: running!, queued: queued!, slots: slots!, pace: pace / USUAL_PACE_HUNDREDTHS };
}
