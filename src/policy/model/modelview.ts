/** What an ingress of a model knows of an upstream: as `UpstreamView` of the daemon, without what connections tell. */
import type { UpstreamName } from "../../ids/upstreamname.js";
import type { Availability } from "../placement/availability.js";
import type { Candidate } from "../placement/candidate.js";
import { Exclusion } from "../placement/exclusion.js";
import type { LoadReport } from "../placement/loadreport.js";
import type { Selectable } from "../placement/selectable.js";
import type { ModelTarget } from "./modeltarget.js";

/** Reports come with answers only. */
export class ModelView implements Candidate, Selectable {
    readonly #exclusion = new Exclusion();
    outstanding = 0;
    report: LoadReport | undefined;
    reportedAt = 0;
    outstandingAtReport = 0;
    readonly roundTripMs = 1;
    readonly penaltyMs = 0;
    readonly lastFailureAt = 0;

    constructor(readonly host: ModelTarget, readonly sameHall: boolean) {}

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

    /** Records that its gate has turned a request away since it is cold. */
    recordCold(now: number): void {
        this.#exclusion.start("cold", now);
    }

    recordReport(now: number): void {
        this.report = this.host.gate.report();
        this.reportedAt = now;
        this.outstandingAtReport = this.outstanding;
    }
}
