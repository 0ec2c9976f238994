/** A daemon's request for tokens of the teams of one shard. */
import type { TeamName } from "../../ids/teamname.js";

/**
 * Of one team: the number of requests that wait for a token, the number of prefetched tokens that the daemon holds, the
 * number that it would like to hold, and the number of tokens returned by requests that did not run.
 */
type TeamAsk = [team: TeamName, wanted: number, held: number, spares: number, returned: number];

/**
 * - `id`: returned in the answer.
 * - `members`: the number of daemons by which the sender's share is computed.
 * - `counter`, `until`: if present, the sender leases its share to this incarnation of the counter until this time on
 *   the counter's clock.
 */
export type QuotaAsk = {
    readonly shard: number;
    readonly id: number;
    readonly members: number;
    readonly counter?: string | undefined;
    readonly until?: number | undefined;
    readonly teams: TeamAsk[];
};
