/**
 * Raises the service time of a load report to the age of requests that are still running.
 *
 * A request that has run for some milliseconds without a response shows that the service time is at least that long. A
 * gate passes the mean age of its running requests, an ingress the age of an overdue attempt. Without this, an
 * unresponsive upstream would keep the service time of its last responses.
 */
import type { LoadReport } from "./loadreport.js";

/**
 * Returns the report with `serviceMs` raised to `elapsedMs`, or the same object if `serviceMs` is at least that long.
 */
export function withMinServiceTime(report: LoadReport, elapsedMs: number): LoadReport {
    return elapsedMs > report.serviceMs ? { ...report, serviceMs: elapsedMs } : report;
}
