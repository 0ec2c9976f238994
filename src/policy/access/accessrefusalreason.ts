/** Lists the reasons for which a request is refused because of its key. */

/**
 * `stale-configuration`: the key can't be checked, since the configuration was not confirmed for too long. The other
 * reasons mean that the request has no valid key.
 */
export type AccessRefusalReason = "missing-key" | "unknown-key" | "malformed-key" | "stale-configuration";
