/**
 * Decides whether a gate sends a new load report, unsolicited, to the ingresses that recently sent it requests.
 *
 * Reports are also carried by responses. An unsolicited one is therefore sent only for a change that an ingress would
 * act on: a service time that has doubled or halved since the last report. docs/EXPERIMENTS.md describes the frugal
 * profile, which sends no unsolicited reports.
 */
import type { LoadReport } from "./loadreport.js";

/** Ratio of the new service time to the reported one, or its inverse, above which the change is reported. */
const CHANGE_RATIO = 2;
/** Lower bound of the reported service time, so that very short times do not yield large ratios. */
const MIN_SERVICE_MS = 0.1;

/** Returns true if there was no report yet, or if the service time has changed enough since `lastReport`. */
export function shouldReportLoad(report: LoadReport, lastReport: LoadReport | undefined): boolean {
    if (lastReport === undefined) {
        return true;
    }
    const ratio = report.serviceMs / Math.max(lastReport.serviceMs, MIN_SERVICE_MS);
    return ratio > CHANGE_RATIO || ratio < 1 / CHANGE_RATIO;
}
