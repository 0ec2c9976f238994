/**
 * What follows from each reason for which an attempt brought no answer of the upstream?
 *
 * Read a row as: what is proven of the request, whether it moves on for free, whether another attempt costs budget, what the
 * caller is told at the end, and what becomes of the upstream at this ingress.
 */
import type { Reason } from "./reason.js";
import type { ReasonFacts } from "./reasonfacts.js";

const refusedForLoad: ReasonFacts = {
    proves: "not-run",
    moves: false,
    costsBudget: true,
    problem: "overloaded",
    upstream: "none",
};
const movesForLoad: ReasonFacts = { ...refusedForLoad, moves: true };
const movesForPlace: ReasonFacts = { ...movesForLoad, costsBudget: false };
const outOfTime: ReasonFacts = { ...refusedForLoad, costsBudget: false, problem: "deadline" };
const mayHaveRun: ReasonFacts = { ...refusedForLoad, proves: "unknown", problem: "answer-lost" };
const noWay: ReasonFacts = { ...refusedForLoad, costsBudget: false, problem: "unreachable", upstream: "suspected" };

/** Exhaustive: a new reason does not compile until it has its row. */
export const reasons: Readonly<Record<Reason, ReasonFacts>> = {
    "leaving": { ...movesForPlace, problem: "no-upstream", upstream: "leaving" },
    "slow": movesForLoad,
    "busy": movesForLoad,
    "cold": { ...movesForLoad, upstream: "cold" },
    "limited": { ...movesForLoad, upstream: "limited" },
    "handed-back": movesForLoad,
    "calls-spent": movesForLoad,
    "quarantined": { ...refusedForLoad, isFinal: true, problem: "quarantined" },
    "queue-full": refusedForLoad,
    "wait-too-long": refusedForLoad,
    "caller-left": refusedForLoad,
    "deadline": { ...outOfTime, proves: "either" },
    "deadline-or-revoked": outOfTime,
    "ledger-duplicate": mayHaveRun,
    "ledger-revoked": refusedForLoad,
    "ledger-expired": outOfTime,
    "ledger-full": refusedForLoad,
    "incarnation": { ...movesForPlace, problem: "unreachable" },
    "no-such-upstream": { ...movesForPlace, problem: "no-upstream", upstream: "absent" },
    "stale-rule": movesForLoad,
    "bad-call": refusedForLoad,
    "shed": { ...refusedForLoad, upstream: "full" },
    "misdirected": refusedForLoad,
    "foreign-answer": mayHaveRun,
    "upstream-broke": mayHaveRun,
    "gate-error": mayHaveRun,
    "unreachable": noWay,
    "too-many-connections": refusedForLoad,
    "called-off": refusedForLoad,
    "peer-broke": { ...noWay, proves: "either" },
    "not-a-frame": mayHaveRun,
    "broken-body": mayHaveRun,
    "no-upstream": { ...refusedForLoad, costsBudget: false, problem: "no-upstream" },
    "overtaken": mayHaveRun,
    "broken-answer": mayHaveRun,
    "no-reason": { ...refusedForLoad, proves: "either" },
    "unknown-reason": { ...refusedForLoad, proves: "either" },
};
