/** Which problem a caller is told. */
import type { ProblemType } from "./problemtype.js";
import type { Trial } from "./trial.js";

const DEADLINE: ReadonlySet<string> = new Set(["deadline", "deadline-or-revoked", "ledger-expired"]);
const NO_UPSTREAM: ReadonlySet<string> = new Set(["no-upstream", "leaving", "no-such-upstream"]);
const UNREACHABLE: ReadonlySet<string> = new Set(["unreachable", "peer-broke", "incarnation"]);

/** From the last try to the problem's type. */
export function problemOf(trial: Trial): ProblemType {
    if (DEADLINE.has(trial.reason)) {
        return "deadline";
    }
    if (trial.outcome !== "not-run") {
        return "answer-lost";
    }
    if (NO_UPSTREAM.has(trial.reason)) {
        return "no-upstream";
    }
    return UNREACHABLE.has(trial.reason) ? "unreachable" : "overloaded";
}
