/** A daemon's request for tokens of the teams of one shard. */
import type { Incarnation } from "../../ids/incarnation.js";
import type { TeamName } from "../../ids/teamname.js";

/**
 * Of one team: the number of requests that wait for a token, the number of prefetched tokens that the daemon holds, the
 * number that it would like to hold, and the number of tokens returned by requests that did not run.
 */
type TeamAsk = [team: TeamName, wanted: number, held: number, spares: number, returned: number];

/**
 * Requests the counter's clock, and may lease the sender's share. `members`: the number of daemons by which the share is
 * computed. `counter`, `until`: the share is leased to this incarnation of the counter until this time on its clock.
 */
type LeaseAsk = {
    readonly members: number;
    readonly counter?: Incarnation | undefined;
    readonly until?: number | undefined;
};

/** `id`: returned in the answer. `lease`: present at the interval at which leases are renewed. */
export type QuotaAsk = {
    readonly shard: number;
    readonly id: number;
    readonly lease?: LeaseAsk | undefined;
    readonly teams: TeamAsk[];
};
