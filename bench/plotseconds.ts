/** Draws the share of requests that were served in time, second by second, as an SVG. */
import type { ModelTally } from "../src/policy/model/modeltally.js";

const WIDTH = 800;
const HEIGHT = 240;

/** Returns the SVG of one line, with time from left to right; seconds without requests are left out. */
export function plotSeconds(seconds: ModelTally["seconds"]): string {
    const points = seconds
        .map(({ requests, inTime }, second) => ({ second, share: requests === 0 ? undefined : inTime / requests }))
        .filter(point => point.share !== undefined)
        .map(({ second, share }) =>
            `${Math.round(second / seconds.length * WIDTH)},${Math.round((1 - share!) * HEIGHT)}`
        );
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}">`,
        `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
        `<polyline fill="none" stroke="black" points="${points.join(" ")}"/>`,
        `<text x="4" y="14" font-size="12">share of requests served in time, ${seconds.length} s</text>`,
        "</svg>",
        "",
    ].join("\n");
}
