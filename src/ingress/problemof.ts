/** Which problem a caller is told. */
import type { AttemptResult } from "./attemptresult.js";
import type { ProblemType } from "./problemtype.js";

const DEADLINE: ReadonlySet<string> = new Set(["deadline", "deadline-or-revoked", "ledger-expired"]);
const NO_UPSTREAM: ReadonlySet<string> = new Set(["no-upstream", "leaving", "no-such-upstream"]);
const UNREACHABLE: ReadonlySet<string> = new Set(["unreachable", "peer-broke", "incarnation"]);

/** From the last try to the problem's type. */
export function problemOf(result: AttemptResult): ProblemType {
    if (DEADLINE.has(result.reason)) {
        return "deadline";
    }
    if (result.outcome !== "not-run") {
        return "answer-lost";
    }
    if (NO_UPSTREAM.has(result.reason)) {
        return "no-upstream";
    }
    return UNREACHABLE.has(result.reason) ? "unreachable" : "overloaded";
}
