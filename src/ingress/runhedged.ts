/**
 * Runs an attempt and, when its response is overdue, a hedge at another upstream; the first that is served cancels the
 * other.
 *
 * policy/retry/decidehedge.ts decides whether and when a hedge is allowed.
 */
import type { GateResponse } from "../hop/gateresponse.js";
import { drainResponse } from "../http/drainresponse.js";
import type { AttemptResult } from "../policy/retry/attemptresult.js";
import { pickResult } from "../policy/retry/pickresult.js";
import { isOverdue } from "../time/isoverdue.js";
import type { Attempt } from "./attempt.js";

type Result = AttemptResult<GateResponse>;

/** `afterMs`: the time in milliseconds after which a response is overdue; undefined if no hedge is allowed. */
type HedgeDependencies = {
    readonly afterMs: number | undefined;
    /** Creates the hedge; returns undefined if no upstream or budget is available, or if it is no longer needed. */
    readonly startHedge: () => Attempt | undefined;
};

/** Resolves with the result to act on; the response of the other attempt is discarded. */
export async function runHedged(first: Attempt, { afterMs, startHedge }: HedgeDependencies): Promise<Result> {
    const firstRun = first.run();
    const hedge = afterMs !== undefined && await isOverdue(firstRun, afterMs) ? startHedge() : undefined;
    if (hedge === undefined) {
        return await firstRun;
    }
    const hedgeRun = hedge.run();
    const [firstResult, hedgeResult] = await Promise.all([
        cancelIfServed(firstRun, hedge),
        cancelIfServed(hedgeRun, first),
    ]);
    const picked = pickResult(firstResult, hedgeResult);
    const unused = picked === firstResult ? hedgeResult : firstResult;
    if (unused.outcome === "failed") {
        drainResponse(unused.response.body);
    }
    return picked;
}

const cancelIfServed = async (run: Promise<Result>, other: Attempt): Promise<Result> => {
    const result = await run;
    if (result.outcome === "served") {
        other.cancel();
    }
    return result;
};
