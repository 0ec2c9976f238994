/**
 * An attempt and, when its answer is overdue, another beside it at another upstream; the first that answers counts.
 *
 * Whether and when there may be another is decided by policy/retry/decidehedge.ts.
 */
import type { GateAnswer } from "../hop/gateanswer.js";
import { dropBody } from "../http/dropbody.js";
import type { AttemptResult } from "../policy/retry/attemptresult.js";
import { pickResult } from "../policy/retry/pickresult.js";
import { isOverdue } from "../time/isoverdue.js";
import type { Attempt } from "./attempt.js";

type Result = AttemptResult<GateAnswer>;

/** `afterMs`: when the answer is overdue; undefined where there must be no second attempt. */
type HedgeParts = {
    readonly afterMs: number | undefined;
    /** Makes the second attempt; undefined when there is no upstream for it, no budget, or no need any more. */
    readonly second: () => Attempt | undefined;
};

/** Resolves with what is to be acted on; an answer that is not is let go. */
export async function runHedged(first: Attempt, { afterMs, second }: HedgeParts): Promise<Result> {
    const running = first.run();
    const other = afterMs !== undefined && await isOverdue(running, afterMs) ? second() : undefined;
    if (other === undefined) {
        return await running;
    }
    const beside = other.run();
    const [one, two] = await Promise.all([cancelIfServed(running, other), cancelIfServed(beside, first)]);
    const picked = pickResult(one, two);
    const unused = picked === one ? two : one;
    if (unused.outcome === "failed") {
        dropBody(unused.answer.body);
    }
    return picked;
}

const cancelIfServed = async (running: Promise<Result>, other: Attempt): Promise<Result> => {
    const result = await running;
    if (result.outcome === "served") {
        other.cancel();
    }
    return result;
};
