/** Record of the requests that upstreams received and ran, as printed by their stand-ins. */

/** Arrival of a request at an upstream. `receivedAt` is in milliseconds. */
type Arrival = { readonly upstream: string; readonly id: string; readonly receivedAt: number; };

/** Within one window: `beyond` counts the arrivals after the first of their request, `requests` the first arrivals. */
type RepeatCounts = { readonly beyond: number; readonly requests: number; };

/** Period in which an upstream stated a rate limit, with the times in milliseconds at which requests arrived. */
type LimitedPeriod = { readonly limitPerSecond: number; readonly arrivalTimes: number[]; };

const MS_PER_SECOND = 1000;
/**
 * In any window of `LIMIT_WINDOW_S`, an upstream may receive `LIMIT_BURST_FACTOR` times the number of requests that its
 * stated rate limit allows, plus `LIMIT_BURST_REQUESTS`.
 */
const LIMIT_WINDOW_S = 4;
const LIMIT_BURST_FACTOR = 1.5;
const LIMIT_BURST_REQUESTS = 5;

const countInWindow = (arrivals: readonly Arrival[], from: number, windowMs: number): number =>
    arrivals.filter(({ receivedAt }) => receivedAt >= from && receivedAt < from + windowMs).length;

/**
 * Records the lines that the stand-ins print, so that the record outlives a stand-in that is killed. Requests are
 * identified by the id that the load gave them.
 */
export class RunRecord {
    readonly #runCounts = new Map<string, number>();
    readonly #lastStartAt = new Map<string, number>();
    readonly #startsByUpstream = new Map<string, number[]>();
    readonly #arrivals: Arrival[] = [];
    readonly #limitedPeriods = new Map<string, LimitedPeriod>();

    /**
     * Records a line of the stand-in of `upstream`, received at `now` in milliseconds: `A id` for the arrival of a
     * request, `R id` for its start, and `L period limit id` for an arrival while a rate limit is stated.
     */
    recordLine(upstream: string, line: string, now: number): void {
        if (line.startsWith("A ")) {
            this.#arrivals.push({ upstream, id: line.slice(2), receivedAt: now });
        }
        if (line.startsWith("L ")) {
            this.#recordLimitedArrival(upstream, line, now);
        }
        if (line.startsWith("R ")) {
            const id = line.slice(2);
            this.#runCounts.set(id, (this.#runCounts.get(id) ?? 0) + 1);
            this.#lastStartAt.set(id, now);
            const startTimes = this.#startsByUpstream.get(upstream) ?? [];
            startTimes.push(now);
            this.#startsByUpstream.set(upstream, startTimes);
        }
    }

    /**
     * Returns the counts of the window of `windowMs` with the most repeats at the upstreams of a service, where a repeat
     * is an arrival after the first of its request.
     */
    worstRepeats(isOfService: (upstream: string) => boolean, windowMs: number): RepeatCounts {
        const arrivals = this.#arrivals.filter(({ upstream }) => isOfService(upstream));
        const seenIds = new Set<string>();
        const repeats = arrivals.filter(({ id }) => seenIds.has(id) || !seenIds.add(id));
        const windows = repeats.map(({ receivedAt }) => ({
            beyond: countInWindow(repeats, receivedAt, windowMs),
            requests: countInWindow(arrivals, receivedAt, windowMs) - countInWindow(repeats, receivedAt, windowMs),
        }));
        return windows.reduce((worst, window) => window.beyond > worst.beyond ? window : worst, {
            beyond: 0,
            requests: 0,
        });
    }

    /** Returns the number of periods with a window in which the upstream received more than its rate limit allows. */
    countPeriodsOverLimit(): number {
        return [...this.#limitedPeriods.values()].filter(({ limitPerSecond, arrivalTimes }) => {
            const allowed = limitPerSecond * LIMIT_WINDOW_S * LIMIT_BURST_FACTOR + LIMIT_BURST_REQUESTS;
            const countFrom = (from: number): number =>
                arrivalTimes.filter(time => time >= from && time <= from + LIMIT_WINDOW_S * MS_PER_SECOND).length;
            return arrivalTimes.some(from => countFrom(from) > allowed);
        }).length;
    }

    #recordLimitedArrival(upstream: string, line: string, now: number): void {
        const [, periodId, limitPerSecond] = line.split(" ");
        const key = `${upstream} ${periodId}`;
        const period = this.#limitedPeriods.get(key) ?? { limitPerSecond: Number(limitPerSecond), arrivalTimes: [] };
        period.arrivalTimes.push(now);
        this.#limitedPeriods.set(key, period);
    }

    /** Returns the upstreams at which the request with this id arrived, in order. */
    upstreamsOf(id: string): string[] {
        return this.#arrivals.filter(arrival => arrival.id === id).map(({ upstream }) => upstream);
    }

    /** Returns how often the request ran. */
    countRuns(id: string): number {
        return this.#runCounts.get(id) ?? 0;
    }

    /** Returns whether the request started to run after `timeMs`. */
    startedAfter(id: string, timeMs: number): boolean {
        return (this.#lastStartAt.get(id) ?? 0) > timeMs;
    }

    /** Returns the times in milliseconds at which the upstream started to run requests, in order. */
    startTimes(upstream: string): readonly number[] {
        return this.#startsByUpstream.get(upstream) ?? [];
    }
}
