/** Converts the upstreams of a member to the form that the rest of the daemon uses. */
import { defaultConnections } from "../config/defaultconnections.js";
import type { Upstream } from "../config/upstream.js";
import type { Member } from "../wire/member.js";

/** Returns the member's upstreams, each with the host, hall, region and gate of its daemon. */
export function upstreamsOf(member: Member): Upstream[] {
    const { gate, host, hall, region } = member;
    return member.upstreams.map(upstream => ({
        ...upstream,
        gate,
        host,
        hall,
        region,
        connections: defaultConnections,
    }));
}
