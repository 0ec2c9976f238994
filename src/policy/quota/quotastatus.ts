/** The quota of a team, as one daemon knows it. */
import type { Address } from "../../ids/address.js";
import type { TeamName } from "../../ids/teamname.js";

/** `counter`: the daemon that counts for this one; `refused` since the start; `held`: prefetched tokens. */
export type QuotaStatus = {
    readonly team: TeamName;
    readonly ratePerSecond: number;
    readonly burst: number;
    readonly counter: Address;
    readonly refused: number;
    readonly held: number;
};
