/** A counter's answer to a request for tokens. */
import type { Incarnation } from "../../ids/incarnation.js";
import type { TeamName } from "../../ids/teamname.js";

/**
 * Of one team: the number of tokens for waiting requests, the number of prefetched tokens that the daemon may hold
 * from now on (those that it reported included), and the time in milliseconds until a token is available if too few were
 * granted (-1 if that can't be said).
 */
type TeamAnswer = [team: TeamName, granted: number, spares: number, dueMs: number];

/** The counter's process, its clock at the time of the answer, and the number of daemons that it knows. */
type CounterClock = { readonly incarnation: Incarnation; readonly time: number; readonly members: number; };

/** `clock`: present if the request had a `lease`. */
export type QuotaAnswer = {
    readonly shard: number;
    readonly id: number;
    readonly clock?: CounterClock | undefined;
    readonly teams: TeamAnswer[];
};
