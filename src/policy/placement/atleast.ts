/**
 * What does work that has not ended say of an upstream's service time? That it is at least as long as the work has run.
 *
 * A gate counts the mean age of what it runs, an ingress the time that an answer is overdue: an upstream that answers nothing
 * at all would else keep the times of its last answers.
 */
import type { LoadReport } from "./loadreport.js";

/** The report with its service time raised to `elapsedMs` milliseconds, the report itself where that is no more. */
export function atLeast(report: LoadReport, elapsedMs: number): LoadReport {
    return elapsedMs > report.serviceMs ? { ...report, serviceMs: elapsedMs } : report;
}
