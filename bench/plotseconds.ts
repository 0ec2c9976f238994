/** Draws the share that was answered in time, second by second, as an SVG. */
import type { ModelTally } from "../src/policy/model/modeltally.js";

const WIDTH = 800;
const HEIGHT = 240;

/** A line from left to right; a second without requests is left out. */
export function plotSeconds(seconds: ModelTally["seconds"]): string {
    const points = seconds
        .map(({ requests, inTime }, second) => ({ at: second, share: requests === 0 ? undefined : inTime / requests }))
        .filter(point => point.share !== undefined)
        .map(({ at, share }) => `${Math.round(at / seconds.length * WIDTH)},${Math.round((1 - share!) * HEIGHT)}`);
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}">`,
        `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
        `<polyline fill="none" stroke="black" points="${points.join(" ")}"/>`,
        `<text x="4" y="14" font-size="12">share answered in time, ${seconds.length} s</text>`,
        "</svg>",
        "",
    ].join("\n");
}
