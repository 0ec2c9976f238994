/**
 * The placement that winglock uses: the least expected time until the answer.
 *
 * Own outstanding requests are exact and never stale, so they weigh most. What others sent is known from reports
 * only, and a report fades in a few milliseconds, since a herd of ingresses that all believe the same stale report
 * is worse than none. How slow the upstream is changes less fast, so that part of a report fades later.
 */
import type { RandomSource } from "../randomsource.js";
import type { Candidate } from "./candidate.js";
import { Placement } from "./placement.js";
import { sample } from "./sample.js";

/** What an operator's profile may set; times in milliseconds. */
type Options = {
    readonly choices: number;
    readonly loadFadeMs: number;
    readonly speedFadeMs: number;
    readonly ownWeight: number;
    /** How long an upstream's own word on its pace is believed. */
    readonly paceFadeMs: number;
    /** What it costs to leave the data hall, in usual service times. */
    readonly leaveHallCost: number;
};

const DEFAULTS: Options = {
    choices: 4,
    loadFadeMs: 5,
    speedFadeMs: 400,
    ownWeight: 8,
    paceFadeMs: 250,
    leaveHallCost: 0,
};

/** Assumed of an upstream that has never been heard of. */
const UNKNOWN_SERVICE_MS = 5;

/** How much a busy slot costs while there are free ones: enough to spread, too little to leave the hall. */
const BUSY_SHARE = 0.5;

/**
 * Costs that differ by less are noise, and all ingresses see the same noise: to take the least of them would send all
 * to one upstream.
 */
const ALIKE = 1.1;

/** An upstream is called slow when its fast average is this many times its slow one; less is noise too. */
const SLOW_RATIO = 1.5;

const PENALTY_FADE_MS = 1000;

const faded = (ageMs: number, fadeMs: number): number => Math.exp(-Math.max(0, ageMs) / fadeMs);

/** Chooses the least expected time among a few candidates drawn at random. */
export class ExpectedTime extends Placement {
    readonly #options: Options;

    constructor(options: Partial<Options> = {}) {
        super();
        this.#options = { ...DEFAULTS, ...options };
    }

    choose(candidates: readonly Candidate[], now: number, random: RandomSource): Candidate | undefined {
        const drawn = this.#draw(candidates, random);
        const costs = new Map(drawn.map(candidate => [candidate, this.expectedMs(candidate, now)]));
        const least = Math.min(...costs.values());
        const alike = drawn.filter(candidate => costs.get(candidate)! <= least * ALIKE);
        return alike[Math.floor(random() * alike.length)];
    }

    /** Expected time from sending to the answer, in milliseconds. */
    expectedMs(candidate: Candidate, now: number): number {
        const ageMs = now - candidate.reportAt;
        const limit = Math.max(1, this.#limit(candidate, ageMs));
        const load = this.#load(candidate, ageMs);
        const serviceMs = this.#serviceMs(candidate, ageMs);
        const rounds = Math.max(0, load + 1 - limit) / limit;
        const spread = BUSY_SHARE * Math.min(1, load / limit);
        const leaveMs = candidate.near ? 0 : this.#options.leaveHallCost * this.#usualMs(candidate);
        const pathMs = candidate.roundTripMs + leaveMs;
        return pathMs + serviceMs * (1 + rounds + spread) + this.#penaltyMs(candidate, now);
    }

    /** Where it costs to leave the hall, upstreams of the hall are always among those drawn. */
    #draw(candidates: readonly Candidate[], random: RandomSource): Candidate[] {
        const { choices, leaveHallCost } = this.#options;
        const near = leaveHallCost === 0 ? [] : candidates.filter(candidate => candidate.near);
        const drawn = sample(near, Math.ceil(choices / 2), random);
        const rest = drawn.length === 0 ? candidates : candidates.filter(candidate => !drawn.includes(candidate));
        return [...drawn, ...sample(rest, choices - drawn.length, random)];
    }

    #usualMs(candidate: Candidate): number {
        return candidate.report?.baseMs ?? UNKNOWN_SERVICE_MS;
    }

    /** It fades, since an upstream that nothing is sent to can't show that it is well again. */
    #penaltyMs(candidate: Candidate, now: number): number {
        return candidate.penaltyMs === 0 ? 0 : candidate.penaltyMs * faded(now - candidate.penaltyAt, PENALTY_FADE_MS);
    }

    #limit(candidate: Candidate, ageMs: number): number {
        const weight = faded(ageMs, this.#options.speedFadeMs);
        const reported = candidate.report?.limit ?? candidate.slots;
        return weight * reported + (1 - weight) * candidate.slots;
    }

    #load(candidate: Candidate, ageMs: number): number {
        const { report } = candidate;
        const own = candidate.own * this.#options.ownWeight;
        if (report === undefined) {
            return own;
        }
        const others = Math.max(0, report.running + report.waiting - candidate.ownAtReport);
        const weight = faded(ageMs, this.#options.loadFadeMs);
        return weight * (others + candidate.own) + (1 - weight) * own;
    }

    #serviceMs(candidate: Candidate, ageMs: number): number {
        const { report } = candidate;
        if (report === undefined) {
            return UNKNOWN_SERVICE_MS;
        }
        if (report.pace !== undefined) {
            return report.baseMs * (1 + (report.pace - 1) * faded(ageMs, this.#options.paceFadeMs));
        }
        if (report.serviceMs < report.baseMs * SLOW_RATIO) {
            return report.baseMs;
        }
        const weight = faded(ageMs, this.#options.speedFadeMs);
        return weight * report.serviceMs + (1 - weight) * report.baseMs;
    }
}
