/**
 * The time in milliseconds for which a daemon's own report takes precedence over reports of others about it: more than
 * two of its heartbeat intervals.
 */
export const directPrecedenceMs = 5000;
