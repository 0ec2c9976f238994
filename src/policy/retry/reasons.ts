/**
 * Maps each reason for which an attempt got no response of the upstream to its consequences.
 *
 * A row states what is proven of the request, whether it is redirected, whether another attempt costs budget, which
 * problem the caller gets if no attempt follows, and which state this ingress assumes of the upstream.
 */
import type { Reason } from "./reason.js";
import type { ReasonFacts } from "./reasonfacts.js";

const refusedForLoad: ReasonFacts = {
    proves: "not-run",
    causesRedirect: false,
    costsBudget: true,
    problem: "overloaded",
    upstreamEffect: "none",
};
const redirectedForLoad: ReasonFacts = { ...refusedForLoad, causesRedirect: true };
const targetUnavailable: ReasonFacts = { ...redirectedForLoad, costsBudget: false };
const deadlinePassed: ReasonFacts = { ...refusedForLoad, costsBudget: false, problem: "deadline" };
const mayHaveRun: ReasonFacts = { ...refusedForLoad, proves: "unknown", problem: "answer-lost" };
const unreachable: ReasonFacts = {
    ...refusedForLoad,
    costsBudget: false,
    problem: "unreachable",
    upstreamEffect: "suspected",
};

/** Has a row for every reason; the compiler rejects a new reason without one. */
export const reasons: Readonly<Record<Reason, ReasonFacts>> = {
    "leaving": { ...targetUnavailable, problem: "no-upstream", upstreamEffect: "leaving" },
    "slow": redirectedForLoad,
    "busy": redirectedForLoad,
    "cold": { ...redirectedForLoad, upstreamEffect: "cold" },
    "limited": { ...redirectedForLoad, upstreamEffect: "limited" },
    "handed-back": redirectedForLoad,
    "calls-spent": redirectedForLoad,
    "quarantined": { ...refusedForLoad, isFinal: true, problem: "quarantined" },
    "body-missing": { ...refusedForLoad, costsBudget: false },
    "body-memory": { ...redirectedForLoad, problem: "body-memory" },
    "over-quota": { ...refusedForLoad, costsBudget: false, problem: "over-quota" },
    "quota-unknown": { ...refusedForLoad, costsBudget: false, problem: "quota-unknown" },
    "queue-full": refusedForLoad,
    "wait-too-long": refusedForLoad,
    "caller-left": refusedForLoad,
    "deadline": { ...deadlinePassed, proves: "either" },
    "deadline-or-revoked": deadlinePassed,
    "ledger-duplicate": mayHaveRun,
    "ledger-revoked": refusedForLoad,
    "ledger-expired": deadlinePassed,
    "ledger-full": refusedForLoad,
    "incarnation": { ...targetUnavailable, problem: "unreachable" },
    "no-such-upstream": { ...targetUnavailable, problem: "no-upstream", upstreamEffect: "absent" },
    "stale-rule": redirectedForLoad,
    "bad-call": refusedForLoad,
    "shed": { ...refusedForLoad, upstreamEffect: "full" },
    "misdirected": refusedForLoad,
    "foreign-answer": mayHaveRun,
    "upstream-broke": mayHaveRun,
    "gate-error": mayHaveRun,
    "unreachable": unreachable,
    "too-many-connections": refusedForLoad,
    "called-off": refusedForLoad,
    "peer-broke": { ...unreachable, proves: "either" },
    "not-a-frame": mayHaveRun,
    "broken-body": mayHaveRun,
    "no-upstream": { ...refusedForLoad, costsBudget: false, problem: "no-upstream" },
    "region-unavailable": { ...refusedForLoad, costsBudget: false, problem: "region-unavailable" },
    "crossing-limit": { ...refusedForLoad, costsBudget: false },
    "overtaken": mayHaveRun,
    "broken-answer": mayHaveRun,
    "no-reason": { ...refusedForLoad, proves: "either" },
    "unknown-reason": { ...refusedForLoad, proves: "either" },
};
