/**
 * Holds what a simulated ingress knows of an upstream: as the daemon's `UpstreamView`, but without what is known from
 * connections.
 */
import type { UpstreamName } from "../../ids/upstreamname.js";
import type { Availability } from "../placement/availability.js";
import type { Candidate } from "../placement/candidate.js";
import { Exclusion } from "../placement/exclusion.js";
import type { LoadReport } from "../placement/loadreport.js";
import type { Selectable } from "../placement/selectable.js";
import type { ModelTarget } from "./modeltarget.js";

/** Receives load reports with responses only. */
export class ModelView implements Candidate, Selectable {
    readonly #exclusion = new Exclusion();
    outstanding = 0;
    report: LoadReport | undefined;
    reportedAt = 0;
    outstandingAtReport = 0;
    readonly penaltyMs = 0;
    readonly lastFailureAt = 0;

    constructor(
        readonly host: ModelTarget,
        readonly sameHall: boolean,
        readonly sameRegion: boolean,
        readonly roundTripMs: number,
    ) {}

    get upstream(): UpstreamName {
        return this.host.name as UpstreamName;
    }

    get slots(): number {
        return this.host.upstream.slots;
    }

    availability(now: number): Availability {
        if (this.host.isEvacuated) {
            return "evacuated";
        }
        if (this.#exclusion.isActive(now)) {
            return "cold";
        }
        return this.host.isUp ? "available" : "leaving";
    }

    /** Records that the gate has redirected a request because the upstream is cold. */
    recordCold(now: number): void {
        this.#exclusion.start("cold", now);
    }

    recordReport(now: number): void {
        this.report = this.host.gate.report();
        this.reportedAt = now;
        this.outstandingAtReport = this.outstanding;
    }
}
