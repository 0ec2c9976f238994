/** Counts the results of a simulation of uneven halls. */

export type UnevenHallsTally = {
    readonly requests: number;
    readonly served: number;
    /** Served within their targets. */
    readonly inTime: number;
    /** Attempts of all requests. */
    readonly placements: number;
    /** Attempts in another region than that of the ingress. */
    readonly crossings: number;
    /** Attempts by the hall of the ingress, then by that of the upstream. */
    readonly byHall: number[][];
    /** Attempts in another region by the second in which they were made. */
    readonly crossingsBySecond: number[];
    /** Requests by their service. */
    readonly byService: Map<string, number>;
};
