/**
 * The durations on which all daemons rely, in milliseconds.
 *
 * - `leaseMs`: a share is leased for this long; also the time after its start for which a daemon leases no share, since
 *   a lease of its former life may still be counted.
 * - `renewMs`: a lease is renewed this often; two renewals in a row may be lost.
 * - `wantedMs`: a token for a waiting request is valid for this long from the time it was requested.
 * - `spareMs`: a prefetched token is valid for this long from the time it was requested. The counter grants it on
 *   leases that last for this time, so that it has expired before the shares behind it can be leased to another counter.
 */
export const quotaTimes = { leaseMs: 4000, renewMs: 1300, wantedMs: 150, spareMs: 1200 } as const;
