/**
 * The number of daemons of which each owns a share: the largest number that was known during the last minute, so that
 * daemons that are cut off from each other do not divide the limit among fewer.
 */

/** Longer than daemons are cut off from each other before they remove each other from their lists. */
const MEMORY_MS = 60_000;
/** Counts are kept by step, so that the memory is bounded. */
const STEP_MS = 1000;

/** Times are milliseconds on the daemon's clock. */
export class MemberMaximum {
    #steps: { readonly step: number; readonly count: number; }[] = [];

    /** Records that `count` daemons, this one included, are known at `now`. */
    record(count: number, now: number): void {
        const step = Math.floor(now / STEP_MS);
        this.#steps = this.#steps.filter(entry => entry.count > count && (entry.step + 1) * STEP_MS > now - MEMORY_MS);
        this.#steps.push({ step, count });
    }

    /** Returns the largest number in the last minute; the last one recorded remains beyond it. */
    get(now: number): number {
        const recent = this.#steps.filter(entry => (entry.step + 1) * STEP_MS > now - MEMORY_MS);
        return Math.max(1, recent[0]?.count ?? this.#steps.at(-1)?.count ?? 1);
    }
}
