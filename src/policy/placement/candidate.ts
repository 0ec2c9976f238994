/** What an ingress knows of an upstream when it places a request. */
import type { UpstreamName } from "../../ids/upstreamname.js";
import type { LoadReport } from "./loadreport.js";

/** Times in milliseconds; `reportAt` is on the ingress's own clock. */
export type Candidate = {
    readonly upstream: UpstreamName;
    readonly slots: number;
    /** In the ingress's own data hall. */
    readonly near: boolean;
    /** Path round trip to the gate. */
    readonly roundTripMs: number;
    /** Requests of this daemon that were sent there and have not ended. */
    readonly outstanding: number;
    readonly report: LoadReport | undefined;
    readonly reportAt: number;
    /** `outstanding` when the report came. */
    readonly outstandingAtReport: number;
    /** Added to the expected time, for an upstream that fails: a fast failure must not look fast. Fades. */
    readonly penaltyMs: number;
    readonly penaltyAt: number;
};
