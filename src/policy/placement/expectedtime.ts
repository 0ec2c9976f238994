/**
 * Places a request on the upstream with the lowest expected response time among a few that are sampled at random.
 *
 * The inputs are, for each upstream, this daemon's outstanding requests, the gate's load report and its age, the
 * network round trip and the failure penalty. All times are milliseconds.
 *
 * The daemon's own outstanding requests are exact and never stale, so they weigh most. The load from other ingresses is
 * known from reports only. That part of a report decays within a few milliseconds, because many ingresses that act on
 * the same stale report overload one upstream, which is worse than no report. Service times change more slowly, so they
 * decay later.
 *
 * Upstreams of the ingress's own region are sampled first. Those of other regions are considered only if the lowest
 * cost at home exceeds what a crossing costs at least, and one of them is chosen only if it is clearly faster. Thus
 * a service with many upstreams elsewhere does not dilute the sample, and most requests cost no look at other regions.
 */
import type { RandomSource } from "../randomsource.js";
import type { Candidate } from "./candidate.js";
import type { PlacedRequest } from "./placedrequest.js";
import { Placement } from "./placement.js";
import { sample } from "./sample.js";

/**
 * Options of the policy; operators set them in `policy.placementOptions` (docs/SETTINGS.md), except `serviceFadeMs`.
 */
type Options = {
    /** Number of candidates that are sampled. */
    readonly choices: number;
    /** Time constant with which a reported load decays. */
    readonly loadFadeMs: number;
    /** Time constant with which reported service times and concurrency limits decay; not a setting. */
    readonly serviceFadeMs: number;
    /**
     * Number of requests that each of this daemon's outstanding requests counts as while no fresh report shows the load
     * of other daemons.
     */
    readonly ownWeight: number;
    /** Time constant with which a reported pace decays. */
    readonly paceFadeMs: number;
    /** Cost of leaving the data hall, as a multiple of the usual service time. */
    readonly leaveHallCost: number;
    /** Cost of leaving the region, as a multiple of the usual service time; added to that of leaving the hall. */
    readonly leaveRegionCost: number;
};

/** A candidate with its expected time in milliseconds, costs of leaving the hall or the region included. */
type Costed = { readonly candidate: Candidate; readonly costMs: number; };

const DEFAULTS: Options = {
    choices: 4,
    loadFadeMs: 5,
    serviceFadeMs: 400,
    ownWeight: 8,
    paceFadeMs: 250,
    leaveHallCost: 0,
    leaveRegionCost: 0,
};

/** Service time that is assumed while no upstream of a service has a report. */
const DEFAULT_SERVICE_MS = 5;

/**
 * Cost, in service times, of an upstream whose slots are all in use: enough to spread requests, too little to leave the
 * hall.
 */
const UTILIZATION_COST = 0.5;

/**
 * Costs within this ratio of the lowest count as equal. Smaller differences are noise, and all ingresses see the same
 * noise: if each took the lowest cost, all would choose the same upstream.
 */
const SIMILAR_COST_RATIO = 1.1;

/**
 * Ratio of the fast to the slow average of service times from which the fast one is used; smaller differences are
 * noise.
 */
const SLOW_RATIO = 1.5;

/**
 * Ratio of the lowest cost in the own region to that in another one from which a request crosses. Covers the cost of
 * slots in use, which is no time, and the error of the estimates: a request that crosses in vain has lost a round trip.
 */
const CLEARLY_SHORTER_RATIO = 1 + UTILIZATION_COST;

/**
 * Bytes of a body that a link between regions is assumed to carry in a millisecond for one request: 8 Mbit/s, about a
 * fifth of a link of 42 Mbit/s that all daemons share.
 */
const CROSSING_BYTES_PER_MS = 1000;

const EMPTY_REQUEST: PlacedRequest = { bodyBytes: 0 };

/** Time constant of a failure penalty; a failed upstream gets a request again within about this time. */
const PENALTY_DECAY_MS = 1000;

/**
 * Returns the mean usual service time that the candidates have reported; it is assumed for candidates without a report.
 *
 * A shorter assumption attracts requests to upstreams without a report, also from other halls, where each ingress sends
 * to few upstreams of a large service. With an assumed 5 ms, 90 % of the requests of 11 ingresses among 195 went to an
 * upstream without a report, and 39 % left their hall.
 */
const usualServiceMs = (candidates: readonly Candidate[]): number => {
    const reported = candidates.filter(candidate => candidate.report !== undefined);
    const sumMs = reported.reduce((sum, { report }) => sum + report!.baseMs, 0);
    return reported.length === 0 ? DEFAULT_SERVICE_MS : sumMs / reported.length;
};

/** Returns the weight of a value of the given age: 1 for a new one, falling exponentially. */
const decay = (ageMs: number, timeConstantMs: number): number => Math.exp(-Math.max(0, ageMs) / timeConstantMs);

/** Chooses the candidate with the lowest expected response time among a few that are sampled at random. */
export class ExpectedTime extends Placement {
    readonly #options: Options;

    constructor(options: Partial<Options> = {}) {
        super();
        this.#options = { ...DEFAULTS, ...options };
    }

    choose(
        candidates: readonly Candidate[],
        now: number,
        random: RandomSource,
        request = EMPTY_REQUEST,
    ): Candidate | undefined {
        const usualMs = usualServiceMs(candidates);
        const costOf = (candidate: Candidate): number => this.expectedMs(candidate, now, usualMs, request);
        const home = candidates.filter(candidate => candidate.sameRegion);
        if (home.length === 0 || home.length === candidates.length) {
            return this.#lowestCost(candidates, costOf, random)?.candidate;
        }
        const atHome = this.#lowestCost(home, costOf, random)!;
        const elsewhere = candidates.filter(candidate => !candidate.sameRegion);
        if (atHome.costMs <= this.#minCrossingMs(elsewhere, usualMs, request) * CLEARLY_SHORTER_RATIO) {
            return atHome.candidate;
        }
        const acrossRegions = this.#lowestCost(elsewhere, costOf, random)!;
        const isClearlyShorter = atHome.costMs > acrossRegions.costMs * CLEARLY_SHORTER_RATIO;
        return isClearlyShorter ? acrossRegions.candidate : atHome.candidate;
    }

    /**
     * Returns the expected time from sending to the response; `usualMs` is the service time of a candidate without a
     * report.
     */
    expectedMs(
        candidate: Candidate,
        now: number,
        usualMs = DEFAULT_SERVICE_MS,
        request: PlacedRequest = EMPTY_REQUEST,
    ): number {
        const ageMs = now - candidate.reportedAt;
        const limit = Math.max(1, this.#limit(candidate, ageMs));
        const load = this.#load(candidate, ageMs);
        const baseMs = candidate.report?.baseMs ?? usualMs;
        const serviceMs = this.#serviceMs(candidate, ageMs) ?? baseMs;
        const queueRounds = Math.max(0, load + 1 - limit) / limit;
        const utilizationCost = UTILIZATION_COST * Math.min(1, load / limit);
        const pathMs = this.#pathMs(candidate, baseMs, request);
        return pathMs + serviceMs * (1 + queueRounds + utilizationCost) + this.#penaltyMs(candidate, now);
    }

    /** Samples candidates, and returns one at random of those whose cost is similar to the lowest in the sample. */
    #lowestCost(
        candidates: readonly Candidate[],
        costOf: (candidate: Candidate) => number,
        random: RandomSource,
    ): Costed | undefined {
        const sampled = this.#sampleCandidates(candidates, random)
            .map(candidate => ({ candidate, costMs: costOf(candidate) }));
        const lowestMs = Math.min(...sampled.map(({ costMs }) => costMs));
        const similar = sampled.filter(({ costMs }) => costMs <= lowestMs * SIMILAR_COST_RATIO);
        return similar[Math.floor(random() * similar.length)];
    }

    /** Returns the cost of the fastest of the candidates if it were idle. */
    #minCrossingMs(candidates: readonly Candidate[], usualMs: number, request: PlacedRequest): number {
        return Math.min(...candidates.map(candidate => {
            const baseMs = candidate.report?.baseMs ?? usualMs;
            return baseMs + this.#pathMs(candidate, baseMs, request);
        }));
    }

    /** Returns the time of the network and the costs of leaving the hall and the region. */
    #pathMs({ sameHall, sameRegion, roundTripMs }: Candidate, baseMs: number, { bodyBytes }: PlacedRequest): number {
        const { leaveHallCost, leaveRegionCost } = this.#options;
        const leaveHallMs = sameHall ? 0 : leaveHallCost * baseMs;
        const crossingMs = sameRegion ? 0 : leaveRegionCost * baseMs + bodyBytes / CROSSING_BYTES_PER_MS;
        return roundTripMs + leaveHallMs + crossingMs;
    }

    /** Samples candidates; if leaving the hall has a cost, about half of the sample is taken from the own hall. */
    #sampleCandidates(candidates: readonly Candidate[], random: RandomSource): Candidate[] {
        const { choices, leaveHallCost } = this.#options;
        const sameHall = leaveHallCost === 0 ? [] : candidates.filter(candidate => candidate.sameHall);
        const sampled = sample(sameHall, Math.ceil(choices / 2), random);
        const rest = sampled.length === 0 ? candidates : candidates.filter(candidate => !sampled.includes(candidate));
        return [...sampled, ...sample(rest, choices - sampled.length, random)];
    }

    /** The penalty decays because an upstream that receives no requests cannot show that it works again. */
    #penaltyMs(candidate: Candidate, now: number): number {
        return candidate.penaltyMs === 0
            ? 0
            : candidate.penaltyMs * decay(now - candidate.lastFailureAt, PENALTY_DECAY_MS);
    }

    #limit(candidate: Candidate, ageMs: number): number {
        const freshness = decay(ageMs, this.#options.serviceFadeMs);
        const reported = candidate.report?.limit ?? candidate.slots;
        return freshness * reported + (1 - freshness) * candidate.slots;
    }

    #load(candidate: Candidate, ageMs: number): number {
        const { report } = candidate;
        const ownLoad = candidate.outstanding * this.#options.ownWeight;
        if (report === undefined) {
            return ownLoad;
        }
        const othersLoad = Math.max(0, report.running + report.waiting - candidate.outstandingAtReport);
        const freshness = decay(ageMs, this.#options.loadFadeMs);
        return freshness * (othersLoad + candidate.outstanding) + (1 - freshness) * ownLoad;
    }

    #serviceMs({ report }: Candidate, ageMs: number): number | undefined {
        if (report === undefined) {
            return undefined;
        }
        if (report.pace !== undefined) {
            return report.baseMs * (1 + (report.pace - 1) * decay(ageMs, this.#options.paceFadeMs));
        }
        if (report.serviceMs < report.baseMs * SLOW_RATIO) {
            return report.baseMs;
        }
        const freshness = decay(ageMs, this.#options.serviceFadeMs);
        return freshness * report.serviceMs + (1 - freshness) * report.baseMs;
    }
}
