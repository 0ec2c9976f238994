/**
 * Limits the requests that run at a time: opens the slots one by one after a start, and learns whether the upstream's
 * throughput is higher while its last slots stay free.
 *
 * The input is the time that each response took at each concurrency level, relative to what is usual for such requests.
 * The level is the limit that was in force, not the number of requests that ran: an upstream with free slots that is
 * slow for another reason accumulates requests, which must not be taken for the reason.
 *
 * Many upstreams slow down when they are nearly full, so that fewer requests at a time give a higher throughput. A full
 * upstream runs at one level only, which leaves nothing to compare it with. The policy therefore probes levels of which
 * too little is known, in short phases between phases without a probe: lower levels while all slots are open, and the
 * next higher one while some are kept free. Adjacent phases see the same noise. An upstream that seems slow by chance
 * must not be throttled, so the limit falls only for a clear gain (findknee.ts).
 *
 * Alternatives considered: additive increase with multiplicative decrease needs a sign of overload that does not occur
 * at random, but here work at random takes five times as long. The gradient of times against the shortest time seen
 * (TCP Vegas) takes that noise for a full queue. Both only know the level at which they run.
 */
import { findKnee } from "./findknee.js";
import { levelOf } from "./levelof.js";
import { LevelRegression } from "./levelregression.js";
import { levelSize } from "./levelsize.js";
import { minLimit } from "./minlimit.js";
import { RampLimit } from "./ramplimit.js";
import { SlotLimit } from "./slotlimit.js";

/**
 * Levels probed while all slots are open, as shares of the slots: one below a knee at four fifths of them, one below a
 * knee at three fifths. A level is probed until `minResponses` responses are known of it.
 */
const PROBES = [{ share: 0.75, minResponses: 16 }, { share: 0.58, minResponses: 8 }] as const;
/** Minimum number of remembered responses above the limit; with fewer, the next higher level is probed. */
const MIN_RESPONSES_ABOVE = 16;
/** Responses in a phase for each open slot. Requests that started before it have finished after two thirds of it. */
const PHASE_RESPONSES_PER_SLOT = 1.5;
/** Responses before the first probe after a knee is adopted: an upstream that starts under load is not probed. */
const RESPONSES_BEFORE_PROBES = 150;
/** Responses between two updates of the limit. */
const RESPONSES_PER_DECISION = 8;

/** Learns the limit of one upstream; counts in concurrency levels (levelof.ts). */
export class LearnedLimit extends SlotLimit {
    readonly #ramp: RampLimit;
    readonly #regression: LevelRegression;
    #limitLevel: number;
    /** The level probed in this phase; undefined in phases without a probe. The first phase has one. */
    #probedLevel: number | undefined;
    #responseCount = 0;
    /** True once a knee was found at this upstream, rather than adopted from others of its service. */
    #hasFoundKnee = false;
    #phaseEnd: number;

    readonly #maxLevel: number;
    readonly #levelSize: number;

    /**
     * `serviceKneeShare` returns the share of the slots above which upstreams of the service slow down, or undefined if
     * none is known.
     */
    constructor(slots: number, private readonly serviceKneeShare: () => number | undefined = () => undefined) {
        super();
        this.#levelSize = levelSize(slots);
        this.#maxLevel = levelOf(slots, slots);
        this.#ramp = new RampLimit(slots);
        this.#regression = new LevelRegression(this.#maxLevel);
        this.#limitLevel = this.#maxLevel;
        this.#probedLevel = this.#levelToProbe();
        this.#phaseEnd = this.#phaseLength();
        this.#adoptSharedKnee();
    }

    override get learnedShare(): number | undefined {
        return this.#hasFoundKnee && this.#limitLevel < this.#maxLevel ? this.#limitLevel / this.#maxLevel : undefined;
    }

    current(): number {
        return Math.min(this.#ramp.current(), (this.#probedLevel ?? this.#limitLevel) * this.#levelSize);
    }

    /** The limit outside of probes. */
    get bestLimit(): number {
        return this.#limitLevel * this.#levelSize;
    }

    observe(times: Float64Array): void {
        this.#ramp.observe();
        this.#regression.observe(times);
        this.#responseCount += 1;
        if (this.#responseCount >= this.#phaseEnd) {
            this.#probedLevel = this.#probedLevel === undefined ? this.#levelToProbe() : undefined;
            this.#phaseEnd = this.#responseCount + this.#phaseLength();
        }
        if (this.#responseCount % RESPONSES_PER_DECISION === 0) {
            const knee = findKnee(this.#regression, this.#maxLevel);
            this.#hasFoundKnee ||= knee !== undefined;
            this.#limitLevel = knee?.level ?? this.#levelWithoutKnee();
            this.#adoptSharedKnee();
        }
    }

    /** Returns the next higher level if enough responses show that it is no slower, else the present one. */
    #levelWithoutKnee(): number {
        const hasEnoughResponses =
            this.#regression.responses(this.#limitLevel + 1, this.#maxLevel) >= MIN_RESPONSES_ABOVE / 2;
        return this.#limitLevel < this.#maxLevel && hasEnoughResponses ? this.#limitLevel + 1 : this.#limitLevel;
    }

    /**
     * Adopts the knee that other upstreams of the service have found, as long as too little is known here of the levels
     * above it.
     */
    #adoptSharedKnee(): void {
        const share = this.#limitLevel === this.#maxLevel ? this.serviceKneeShare() : undefined;
        if (share === undefined) {
            return;
        }
        const level = Math.min(this.#maxLevel, Math.max(minLimit(this.#maxLevel), Math.round(share * this.#maxLevel)));
        if (this.#regression.responses(level + 1, this.#maxLevel) < MIN_RESPONSES_ABOVE / 2) {
            this.#limitLevel = level;
            this.#probedLevel = undefined;
            this.#phaseEnd = this.#responseCount + RESPONSES_BEFORE_PROBES;
        }
    }

    /** Returns a level with too few responses to compare it with others, or undefined if there is none. */
    #levelToProbe(): number | undefined {
        if (this.#limitLevel < this.#maxLevel) {
            const above = this.#limitLevel + 1;
            return this.#regression.responses(above, this.#maxLevel) < MIN_RESPONSES_ABOVE ? above : undefined;
        }
        let below = this.#maxLevel;
        for (const { share, minResponses } of PROBES) {
            const level = Math.max(minLimit(this.#maxLevel), Math.floor(this.#maxLevel * share));
            if (level < below && this.#regression.responses(level - 1, level) < minResponses) {
                return level;
            }
            below = level - 1;
        }
        return undefined;
    }

    #phaseLength(): number {
        return Math.ceil((this.#probedLevel ?? this.#limitLevel) * this.#levelSize * PHASE_RESPONSES_PER_SLOT);
    }
}
