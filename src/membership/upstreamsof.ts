/** From a member to upstreams as the rest of the daemon knows them. */
import { defaultConnections } from "../config/defaultconnections.js";
import type { Upstream } from "../config/upstream.js";
import type { Member } from "../wire/member.js";

/** Each upstream with the place and the gate of its daemon. */
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
