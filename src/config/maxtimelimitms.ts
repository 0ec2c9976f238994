/** The longest time limit of a rule, ten minutes; also bounds how long the ledger keeps an entry for a request. */
export const maxTimeLimitMs = 600_000;
