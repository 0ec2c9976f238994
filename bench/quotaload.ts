/** Generates the requests of teams whose sizes follow Zipf's law, and counts what becomes of them. */
import type { TeamName } from "../src/ids/teamname.js";
import type { QuotaMesh } from "../src/policy/model/quotamesh.js";
import type { QuotaBound } from "../src/policy/quota/quotabound.js";
import type { TeamLimit } from "../src/policy/quota/teamlimit.js";
import type { RandomSource } from "../src/policy/randomsource.js";

const MS_PER_SECOND = 1000;
const ZIPF_EXPONENT = 1.2;
/** The limit of a team is this many times its usual rate; its burst is one second of the limit. */
const LIMIT_FACTOR = 1.6;
const MAX_WAIT_MS = 150;

type LoadOptions = {
    readonly daemonCount: number;
    readonly teamCount: number;
    readonly requestsPerSecond: number;
    readonly bound: QuotaBound;
    readonly random: RandomSource;
};

type Counts = { requests: number; roundTrips: number; overQuota: number; noCounter: number; ofOthersRefused: number; };

/** The first team is the largest. Times are milliseconds. */
export class QuotaLoad {
    readonly limits: ReadonlyMap<TeamName, TeamLimit>;
    readonly #rates: readonly number[];
    readonly #usedAt = new Map<TeamName, number[]>();
    counts: Counts = { requests: 0, roundTrips: 0, overQuota: 0, noCounter: 0, ofOthersRefused: 0 };
    /** Returns true if callers' requests arrive at a daemon. */
    serves: (daemon: number) => boolean = () => true;

    constructor(private readonly options: LoadOptions) {
        const { teamCount, requestsPerSecond } = options;
        const weights = Array.from({ length: teamCount }, (_, rank) => (rank + 1) ** -ZIPF_EXPONENT);
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        this.#rates = weights.map(weight => requestsPerSecond * weight / total);
        this.limits = new Map(this.#rates.map((rate, index) => {
            const ratePerSecond = rate * LIMIT_FACTOR;
            return [`team-${index + 1}` as TeamName, { ratePerSecond, burst: ratePerSecond }];
        }));
    }

    /** Starts the counts of a new period; the times of served requests are kept for the window of the bound. */
    reset(): void {
        this.counts = { requests: 0, roundTrips: 0, overQuota: 0, noCounter: 0, ofOthersRefused: 0 };
        for (const [team, times] of this.#usedAt) {
            const from = (times.at(-1) ?? 0) - this.options.bound.windowS * MS_PER_SECOND;
            this.#usedAt.set(team, times.filter(at => at >= from));
        }
    }

    /** Schedules the requests of all teams until `until`; the rate of the first one is multiplied. */
    schedule(mesh: QuotaMesh, until: number, factorOfFirst: number): void {
        const { random, daemonCount } = this.options;
        [...this.limits.keys()].forEach((team, index) => {
            const rate = this.#rates[index]! * (index === 0 ? factorOfFirst : 1);
            for (let at = mesh.now - Math.log(1 - random()) / rate * MS_PER_SECOND; at < until;) {
                const daemon = Math.floor(random() * daemonCount);
                mesh.schedule(at, () => this.#request(mesh, daemon, team, index === 0));
                at -= Math.log(1 - random()) / rate * MS_PER_SECOND;
            }
        });
    }

    /** The largest number of requests beyond the bound in any window; negative if the bound is kept. */
    get worstExcess(): number {
        return Math.max(...[...this.limits].map(([team, limit]) => this.#excessOf(team, limit)));
    }

    #request(mesh: QuotaMesh, daemon: number, team: TeamName, isFirst: boolean): void {
        if (!this.serves(daemon)) {
            return;
        }
        const wasSent = mesh.request(daemon, team, MAX_WAIT_MS, result => {
            const { counts } = this;
            counts.roundTrips += result.waitedMs > 0 ? 1 : 0;
            if (result.type === "token") {
                const times = this.#usedAt.get(team) ?? [];
                times.push(mesh.now);
                this.#usedAt.set(team, times);
                return;
            }
            counts.ofOthersRefused += isFirst ? 0 : 1;
            counts[result.reason === "over-quota" ? "overQuota" : "noCounter"] += 1;
        });
        this.counts.requests += wasSent ? 1 : 0;
    }

    #excessOf(team: TeamName, { ratePerSecond, burst }: TeamLimit): number {
        const { windowS, overage, slack } = this.options.bound;
        const allowed = (ratePerSecond * windowS + burst) * (1 + overage) + slack;
        const times = this.#usedAt.get(team) ?? [];
        let worst = -Infinity;
        for (let first = 0, last = 0; first < times.length; first++) {
            while (last < times.length && times[last]! < times[first]! + windowS * MS_PER_SECOND) {
                last += 1;
            }
            worst = Math.max(worst, last - first - allowed);
        }
        return worst;
    }
}
