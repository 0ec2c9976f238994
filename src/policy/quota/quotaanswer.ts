/** A counter's answer to a request for tokens. */
import type { TeamName } from "../../ids/teamname.js";

/**
 * Of one team: the number of tokens for waiting requests, the number of prefetched tokens that the daemon may hold
 * from now on (those that it reported included), and the time in milliseconds until a token is available if too few were
 * granted (-1 if that can't be said).
 */
type TeamAnswer = [team: TeamName, granted: number, spares: number, dueMs: number];

/** `incarnation`, `time`: the counter's process, and its clock at the time of the answer; `members`: the daemons that it knows. */
export type QuotaAnswer = {
    readonly shard: number;
    readonly id: number;
    readonly incarnation: string;
    readonly time: number;
    readonly members: number;
    readonly teams: TeamAnswer[];
};
