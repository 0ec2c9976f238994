/**
 * Decides which upstream is sent a request to find out whether it is still slow.
 *
 * The inputs are the upstreams' load reports with their ages, and the number of daemons that place requests. Times are
 * milliseconds on the daemon's clock.
 *
 * An ingress learns service times only from responses. If it places no requests on an upstream that was slow, as after
 * a start on a busy host, the last report stays as it is, and the upstream stays unused while its siblings have free
 * slots. So a report of a slow upstream is believed for a limited time only: each daemon sends a request there when the
 * report is so old that all daemons together use a small share of the capacity that the report states. An upstream that
 * is still slow gets no more than this share.
 */
import type { Candidate } from "./candidate.js";

/** Ratio to the usual service time of the candidates from which an upstream counts as slow; less is noise. */
const SLOW_RATIO = 1.5;
/** Share of an upstream's reported capacity that all daemons together use to find out whether it is still slow. */
const CAPACITY_SHARE = 0.2;

/** Returns the median of the reported service times, the lower one of two; Infinity if there is no report. */
const usualMs = (candidates: readonly Candidate[]): number => {
    const reported = candidates.flatMap(({ report }) => report === undefined ? [] : [report.baseMs]);
    return reported.sort((one, other) => one - other)[Math.floor((reported.length - 1) / 2)] ?? Infinity;
};

/** Returns for how long a daemon believes the report of a slow upstream. */
const believedForMs = ({ slots }: Candidate, baseMs: number, daemonCount: number): number =>
    baseMs * Math.max(1, daemonCount) / (CAPACITY_SHARE * Math.max(1, slots));

/** Returns the slow candidate whose report is oldest among those no longer believed, or undefined if there is none. */
export function findSpeedProbe<Target extends Candidate>(
    candidates: readonly Target[],
    daemonCount: number,
    now: number,
): Target | undefined {
    const slowMs = SLOW_RATIO * usualMs(candidates);
    let oldest: Target | undefined;
    for (const candidate of candidates) {
        const { report, reportedAt, outstanding } = candidate;
        const isDue = report !== undefined && outstanding === 0 && report.baseMs >= slowMs
            && now - reportedAt >= believedForMs(candidate, report.baseMs, daemonCount);
        if (isDue && (oldest === undefined || reportedAt < oldest.reportedAt)) {
            oldest = candidate;
        }
    }
    return oldest;
}
