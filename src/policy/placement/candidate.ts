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
    /** Own requests sent there and not answered. */
    readonly own: number;
    readonly report: LoadReport | undefined;
    readonly reportAt: number;
    /** `own` when the report came. */
    readonly ownAtReport: number;
    /** Added to the expected time, for an upstream that fails: a fast failure must not look fast. Fades. */
    readonly penaltyMs: number;
    readonly penaltyAt: number;
};
