/**
 * Estimates the network round trip to gates of other regions that were never contacted, in milliseconds: from the gates
 * of the same hall, else from those of the same region.
 *
 * Without this, each such gate would count as 1 ms away, and attract requests across regions that then take 60 ms.
 */
import type { HallName } from "../../ids/hallname.js";
import type { RegionName } from "../../ids/regionname.js";

/**
 * Assumed before the first response of a region. Rather too long: then the first requests cross only if that would pay
 * at this distance too, and their responses show the true one. Regions of one continent are 10 to 100 ms apart.
 */
const UNKNOWN_REGION_ROUND_TRIP_MS = 100;
/** Weight of the newest response in the moving averages. */
const NEWEST_WEIGHT = 0.1;

type Location = { readonly hall: HallName; readonly region: RegionName; };

/** Holds the moving averages of the round trips to each hall and region. */
export class RegionRoundTrips {
    readonly #hallMs = new Map<HallName, number>();
    readonly #regionMs = new Map<RegionName, number>();

    /** Returns the round trip to assume for a gate without a response. */
    estimateMs({ hall, region }: Location): number {
        return this.#hallMs.get(hall) ?? this.#regionMs.get(region) ?? UNKNOWN_REGION_ROUND_TRIP_MS;
    }

    /** Records the measured round trip to a gate. */
    observe({ hall, region }: Location, ms: number): void {
        this.#hallMs.set(hall, this.#average(this.#hallMs.get(hall), ms));
        this.#regionMs.set(region, this.#average(this.#regionMs.get(region), ms));
    }

    #average(previousMs: number | undefined, ms: number): number {
        return previousMs === undefined ? ms : previousMs + NEWEST_WEIGHT * (ms - previousMs);
    }
}
