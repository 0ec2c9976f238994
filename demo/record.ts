/** The upstreams' own record of what they ran. */

/** Counts runs by the id that the load gave its requests; the lines outlive the process that wrote them. */
export class RunRecord {
    readonly #runs = new Map<string, number>();
    readonly #lastStart = new Map<string, number>();
    readonly #byUpstream = new Map<string, number[]>();

    /** Records one line of a stand-in. */
    read(upstream: string, line: string, now: number): void {
        if (line.startsWith("R ")) {
            const id = line.slice(2);
            this.#runs.set(id, (this.#runs.get(id) ?? 0) + 1);
            this.#lastStart.set(id, now);
            const times = this.#byUpstream.get(upstream) ?? [];
            times.push(now);
            this.#byUpstream.set(upstream, times);
        }
    }

    /** How often a request ran. */
    runs(id: string): number {
        return this.#runs.get(id) ?? 0;
    }

    /** True when a request was started after a time. */
    startedAfter(id: string, at: number): boolean {
        return (this.#lastStart.get(id) ?? 0) > at;
    }

    /** When an upstream started requests, in the order of the lines. */
    startsAt(upstream: string): readonly number[] {
        return this.#byUpstream.get(upstream) ?? [];
    }
}
