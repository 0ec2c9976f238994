/** Compares the results that callers received with the record of what the upstreams ran. */
import type { RequestResult } from "./requestresult.js";
import type { RunRecord } from "./runrecord.js";

/**
 * Numbers of requests, and of periods for `overLimit`. `onceRunTwice`, `falseNotRun`, `wrongAnswer` and `overLimit`
 * must be 0, and so must `cut` where no fault breaks connections.
 */
type Audit = {
    readonly sent: number;
    readonly answered: number;
    readonly notRun: number;
    readonly unknown: number;
    readonly cut: number;
    /** Requests that may run only once and ran more often. */
    readonly onceRunTwice: number;
    /** Requests that were reported as not run, and did run. */
    readonly falseNotRun: number;
    /** Responses with status 200 whose body does not belong to the request or is damaged. */
    readonly wrongAnswer: number;
    /** Periods in which an upstream received more requests than its stated rate limit allows. */
    readonly overLimit: number;
};

/** Returns the counts. A request whose connection every daemon refused counts as not run. */
export function audit(results: readonly RequestResult[], runRecord: RunRecord): Audit {
    const count = (predicate: (result: RequestResult) => boolean): number => results.filter(predicate).length;
    const isNotRun = (result: RequestResult): boolean => result.outcome === "not-run" || result.outcome === "refused";
    return {
        sent: results.length,
        answered: count(result => result.outcome === "answered"),
        notRun: count(isNotRun),
        unknown: count(result => result.outcome === "unknown"),
        cut: count(result => result.outcome === "cut"),
        onceRunTwice: count(result => result.once && runRecord.countRuns(result.id) > 1),
        falseNotRun: count(result => isNotRun(result) && runRecord.countRuns(result.id) > 0),
        wrongAnswer: count(result => result.wrong),
        overLimit: runRecord.countPeriodsOverLimit(),
    };
}
