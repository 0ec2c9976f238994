/** Draws the tails of latency. */
import type { Result } from "./result.js";

const WIDTH = 640;
const HEIGHT = 360;
const MARGIN = 60;
const COLOURS = ["#1b6ca8", "#c0392b", "#7f8c8d", "#e67e22", "#8e44ad", "#27ae60", "#2c3e50"];
const TICKS = [0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.998, 0.999];

/** An SVG: the share of requests along the foot, milliseconds up the side, both by logarithms. */
export function drawTails(results: readonly Result[]): string {
    const most = Math.max(...results.flatMap(result => result.tails));
    const least = Math.min(...results.flatMap(result => result.tails));
    const x = (at: number): number => MARGIN + at * (WIDTH - 2 * MARGIN) / (TICKS.length - 1);
    const y = (ms: number): number =>
        HEIGHT - MARGIN - Math.log(ms / least) / Math.log(most / least) * (HEIGHT - 2 * MARGIN);
    const lines = results.map((result, at) => {
        const points = result.tails.map((ms, tick) => `${x(tick).toFixed(1)},${y(ms).toFixed(1)}`).join(" ");
        const colour = COLOURS[at % COLOURS.length];
        const label = `<text x="${MARGIN + 8}" y="${
            MARGIN + 14 * at
        }" fill="${colour}">${result.scenario} ${result.policy}</text>`;
        return `<polyline fill="none" stroke="${colour}" points="${points}"/>${label}`;
    });
    const marks = TICKS.map((share, at) => `<text x="${x(at).toFixed(0)}" y="${HEIGHT - 30}">${share * 100}%</text>`);
    const ends = [least, most].map(ms => `<text x="4" y="${y(ms).toFixed(0)}">${ms.toFixed(0)} ms</text>`);
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif" font-size="11">`,
        "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>",
        ...lines,
        ...marks,
        ...ends,
        "</svg>",
        "",
    ].join("\n");
}
