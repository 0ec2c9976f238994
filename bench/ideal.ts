/** The bound: one queue feeds all slots with no delay and knows how slow each upstream is. */
import type { Arrival } from "./arrival.js";
import type { Spell } from "./spell.js";

/** Works out each request's time in milliseconds; first come, first placed where it ends soonest. */
export function ideal(
    arrivals: readonly Arrival[],
    noise: readonly (readonly Spell[])[],
    slots: number,
    slowdowns: readonly number[],
): number[] {
    const free = noise.map(() => new Array<number>(slots).fill(0));
    const factorAt = (upstream: number, at: number): number => {
        const spell = noise[upstream]!.find(({ from, to }) => from <= at && at < to);
        return slowdowns[upstream]! * (spell?.factor ?? 1);
    };
    return arrivals.map(arrival => {
        let best = { endAt: Infinity, upstream: 0, slot: 0 };
        free.forEach((ends, upstream) => {
            const slot = ends.indexOf(Math.min(...ends));
            const startAt = Math.max(arrival.at, ends[slot]!);
            const endAt = startAt + arrival.serviceMs * factorAt(upstream, startAt);
            if (endAt < best.endAt) {
                best = { endAt, upstream, slot };
            }
        });
        free[best.upstream]![best.slot] = best.endAt;
        return best.endAt - arrival.at;
    });
}
