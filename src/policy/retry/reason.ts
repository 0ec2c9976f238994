/** Why an attempt brought no answer of the upstream. Each has its row in `reasons.ts`; the words go over the wire as they are. */
export type Reason =
    // The gate takes no request of this kind now.
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
    // Upstreams have crashed under the request.
    | "quarantined"
    // Time.
    | "deadline"
    | "deadline-or-revoked"
    // The ledger of requests that may run once.
    | "ledger-duplicate"
    | "ledger-revoked"
    | "ledger-expired"
    | "ledger-full"
    // The sender knows less than the gate's daemon, or it of the sender.
    | "incarnation"
    | "no-such-upstream"
    | "stale-rule"
    | "bad-call"
    // The upstream, as its gate saw it.
    | "shed"
    | "misdirected"
    | "foreign-answer"
    | "upstream-broke"
    | "gate-error"
    // The way to the gate, or to the upstream.
    | "unreachable"
    | "too-many-connections"
    | "called-off"
    | "peer-broke"
    | "not-a-frame"
    | "broken-body"
    // The ingress itself.
    | "no-upstream"
    | "overtaken"
    | "broken-answer"
    // A peer gave none, or one that this version does not know.
    | "no-reason"
    | "unknown-reason";
