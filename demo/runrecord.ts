/** The upstreams' own record of what they received and ran. */

/** `at` in milliseconds. */
type Arrived = { readonly upstream: string; readonly id: string; readonly at: number; };

/** Arrivals beyond the first of their request, and first ones in the same span. */
type Beyond = { readonly beyond: number; readonly requests: number; };

/** Requests a second that it stated, and when requests arrived. */
type LimitedSpell = { readonly perSecond: number; readonly times: number[]; };

/** Milliseconds. */
const MS_PER_SECOND = 1000;
/** In any so many seconds an upstream may get so many times its limit, and so many requests more. */
const LIMIT_WINDOW_S = 4;
const LIMIT_OVERAGE = 1.5;
const LIMIT_SLACK = 5;

const countWithin = (arrivals: readonly Arrived[], from: number, windowMs: number): number =>
    arrivals.filter(({ at }) => at >= from && at < from + windowMs).length;

/** Counts runs by the id that the load gave its requests; the lines outlive the process that wrote them. */
export class RunRecord {
    readonly #runs = new Map<string, number>();
    readonly #lastStart = new Map<string, number>();
    readonly #byUpstream = new Map<string, number[]>();
    readonly #arrivals: Arrived[] = [];
    readonly #limited = new Map<string, LimitedSpell>();

    /** Records one line of a stand-in. */
    read(upstream: string, line: string, now: number): void {
        if (line.startsWith("A ")) {
            this.#arrivals.push({ upstream, id: line.slice(2), at: now });
        }
        if (line.startsWith("L ")) {
            this.#readLimited(upstream, line, now);
        }
        if (line.startsWith("R ")) {
            const id = line.slice(2);
            this.#runs.set(id, (this.#runs.get(id) ?? 0) + 1);
            this.#lastStart.set(id, now);
            const times = this.#byUpstream.get(upstream) ?? [];
            times.push(now);
            this.#byUpstream.set(upstream, times);
        }
    }

    /** Arrivals beyond the first of each request, at one service's upstreams, in the worst span of `windowMs`. */
    worstBeyondFirst(isOfService: (upstream: string) => boolean, windowMs: number): Beyond {
        const arrivals = this.#arrivals.filter(({ upstream }) => isOfService(upstream));
        const seen = new Set<string>();
        const later = arrivals.filter(({ id }) => seen.has(id) || !seen.add(id));
        const spans = later.map(({ at }) => ({
            beyond: countWithin(later, at, windowMs),
            requests: countWithin(arrivals, at, windowMs) - countWithin(later, at, windowMs),
        }));
        return spans.reduce((worst, span) => span.beyond > worst.beyond ? span : worst, { beyond: 0, requests: 0 });
    }

    /** Spells in which an upstream that stated a limit got more than is allowed in some 4 s. */
    spellsOverLimit(): number {
        return [...this.#limited.values()].filter(({ perSecond, times }) => {
            const allowed = perSecond * LIMIT_WINDOW_S * LIMIT_OVERAGE + LIMIT_SLACK;
            const inWindow = (from: number): number =>
                times.filter(at => at >= from && at <= from + LIMIT_WINDOW_S * MS_PER_SECOND).length;
            return times.some(from => inWindow(from) > allowed);
        }).length;
    }

    #readLimited(upstream: string, line: string, now: number): void {
        const [, spell, perSecond] = line.split(" ");
        const key = `${upstream} ${spell}`;
        const known = this.#limited.get(key) ?? { perSecond: Number(perSecond), times: [] };
        known.times.push(now);
        this.#limited.set(key, known);
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
