/** Defines the reasons for which a gate takes no new requests. */

/**
 * `upstream`: the upstream has announced that it is leaving, and may revoke that;
 * `ending`: it has announced that it is leaving permanently, so its name is not used again;
 * `draining`: operators or an announcement drain it;
 * `removed`: the upstream no longer exists;
 * `host-leaving`: its host is leaving by the platform's list of hosts;
 * `stopping`: the daemon is shutting down;
 * `evacuated`: operators have evacuated the data hall.
 */
export type CloseReason = "upstream" | "ending" | "draining" | "removed" | "host-leaving" | "stopping" | "evacuated";
