/** Describes an upstream as an ingress sees it when it places a request. */
import type { UpstreamName } from "../../ids/upstreamname.js";
import type { LoadReport } from "./loadreport.js";

/** Times are milliseconds; moments are on the ingress's own clock. */
export type Candidate = {
    readonly upstream: UpstreamName;
    /** Requests that the upstream serves at a time. */
    readonly slots: number;
    /** True if the upstream is in the ingress's own data hall. */
    readonly sameHall: boolean;
    /** True if the upstream is in the ingress's own region. */
    readonly sameRegion: boolean;
    /** Network round trip to the gate, without the time that the gate takes. */
    readonly roundTripMs: number;
    /** Requests that this daemon has sent to the upstream and that have not ended. */
    readonly outstanding: number;
    readonly report: LoadReport | undefined;
    /** Time at which the report was received. */
    readonly reportedAt: number;
    /** Value of `outstanding` when the report was received. */
    readonly outstandingAtReport: number;
    /** Added to the expected time, so that fast failures do not look like fast responses; decays with time. */
    readonly penaltyMs: number;
    /** Time at which the upstream last failed. */
    readonly lastFailureAt: number;
};
