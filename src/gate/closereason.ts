/** Why a gate takes no new requests. */

/**
 * `upstream`: the upstream itself said that it is leaving, and may take that back; `ending`: it said so, and its name does not come
 * back; `draining`: operators or an announcement said so; `removed`: there is no
 * such upstream any more; `host-leaving`: the platform's list of hosts; `stopping`: the daemon stops;
 * `evacuated`: operators have evacuated the hall.
 */
export type CloseReason = "upstream" | "ending" | "draining" | "removed" | "host-leaving" | "stopping" | "evacuated";
