/**
 * Decides which share of an ingress's requests to a service leaves the own hall, or the own region, because the gates
 * there refuse them for load. Applies only to services with upstreams in several regions.
 *
 * The inputs are the results of this ingress's own attempts: which share was refused lately in the hall, in the rest
 * of the region, in the region as a whole and elsewhere. Times are milliseconds.
 *
 * Placement alone cannot see that a hall or a region is full. An ingress sends a few requests a second to a service
 * with dozens of upstreams, so its reports are seconds old when it needs them, and an old report shows an upstream as
 * idle (expectedtime.ts). In a simulation, the gates of a region with too few upstreams refused 14 % of all requests
 * while the other region used a third of its slots. The leaving share grows with the refusals and lowers them in turn:
 * it settles where the near upstreams are used, and ingresses do not all leave at the same moment.
 */
import type { RandomSource } from "../randomsource.js";
import { RefusedShare } from "./refusedshare.js";

/** Share of refused attempts from which requests leave the hall; a refusal costs a round trip within the region. */
const MIN_REFUSED_IN_HALL = 0.2;
/** The same for the region; below it nearly all requests find a slot at home within three attempts. */
const MIN_REFUSED_IN_REGION = 0.5;
/** Excess of the share of refused attempts over that elsewhere at which all requests but the remainder leave. */
const FULL_EXCESS = 0.4;
/** The remainder stays to find out whether there are slots again. */
const MAX_LEAVING_SHARE = 0.9;
/** A request with a longer body leaves its region only after that has refused it as full. */
const MAX_LIGHT_BODY_BYTES = 16_384;

type Place = { readonly sameHall: boolean; readonly sameRegion: boolean; };

type OverflowingRequest = {
    readonly bodyBytes: number;
    /** True if the request may leave the region. */
    readonly mayLeaveRegion: boolean;
    /** True if the last attempt was refused because the region is full: no gate had a slot within the longest wait. */
    readonly isRegionFull: boolean;
};

/** Holds the results of one ingress's attempts at one service. */
export class Overflow {
    readonly #hall = new RefusedShare();
    readonly #otherHalls = new RefusedShare();
    readonly #region = new RefusedShare();
    readonly #otherRegions = new RefusedShare();

    /** Records whether an attempt at an upstream was refused for load. */
    record({ sameHall, sameRegion }: Place, isRefused: boolean, now: number): void {
        (sameRegion ? this.#region : this.#otherRegions).record(isRefused, now);
        if (sameRegion) {
            (sameHall ? this.#hall : this.#otherHalls).record(isRefused, now);
        }
    }

    /** Returns the targets that remain: those elsewhere if the request leaves the region or the hall, otherwise all. */
    select<Target extends Place>(
        targets: readonly Target[],
        { bodyBytes, mayLeaveRegion, isRegionFull }: OverflowingRequest,
        now: number,
        random: RandomSource,
    ): readonly Target[] {
        const otherRegions = mayLeaveRegion ? targets.filter(({ sameRegion }) => !sameRegion) : [];
        if (otherRegions.length > 0 && otherRegions.length < targets.length) {
            const leavingShare = bodyBytes > MAX_LIGHT_BODY_BYTES ? 0 : this.#leavingRegionShare(now);
            if (isRegionFull || (leavingShare > 0 && random() < leavingShare)) {
                return otherRegions;
            }
        }
        const leavingHallShare = this.#leavingHallShare(now);
        if (leavingHallShare > 0 && random() < leavingHallShare) {
            const otherHalls = targets.filter(({ sameHall, sameRegion }) => sameRegion && !sameHall);
            return otherHalls.length > 0 ? otherHalls : targets;
        }
        return targets;
    }

    #leavingRegionShare(now: number): number {
        return leavingShare(this.#region.at(now), Math.max(MIN_REFUSED_IN_REGION, this.#otherRegions.at(now)));
    }

    #leavingHallShare(now: number): number {
        return leavingShare(this.#hall.at(now), Math.max(MIN_REFUSED_IN_HALL, this.#otherHalls.at(now)));
    }
}

const leavingShare = (refusedShare: number, minRefusedShare: number): number =>
    Math.min(MAX_LEAVING_SHARE, Math.max(0, (refusedShare - minRefusedShare) / FULL_EXCESS));
