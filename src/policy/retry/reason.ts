/**
 * The reasons for which an attempt got no response of the upstream; each has a row in reasons.ts.
 *
 * The texts are part of the wire format.
 */
export type Reason =
    // The gate does not accept the request now.
    | "leaving"
    | "slow"
    | "busy"
    | "cold"
    | "limited"
    | "queue-full"
    | "wait-too-long"
    | "handed-back"
    | "calls-spent"
    | "caller-left"
    // The request's body did not arrive, or there is no memory for it.
    | "body-missing"
    | "body-memory"
    // The request is suspected of crashing upstreams.
    | "quarantined"
    // The requests of the caller's team exceed its quota, or can't be counted at present.
    | "over-quota"
    | "quota-unknown"
    // The time limit has passed.
    | "deadline"
    | "deadline-or-revoked"
    // The ledger of requests that may run only once refuses the request.
    | "ledger-duplicate"
    | "ledger-revoked"
    | "ledger-expired"
    | "ledger-full"
    // The sender and the gate's daemon disagree, since the data of one of them is stale.
    | "incarnation"
    | "no-such-upstream"
    | "stale-rule"
    | "bad-call"
    // The gate got no valid response from its upstream.
    | "shed"
    | "misdirected"
    | "foreign-answer"
    | "upstream-broke"
    | "gate-error"
    // The connection to the gate or to the upstream failed.
    | "unreachable"
    | "too-many-connections"
    | "called-off"
    | "peer-broke"
    | "not-a-frame"
    | "broken-body"
    // The ingress ended the attempt.
    | "no-upstream"
    | "region-unavailable"
    | "crossing-limit"
    | "overtaken"
    | "broken-answer"
    // The peer gave no reason, or one that this version does not know.
    | "no-reason"
    | "unknown-reason";
