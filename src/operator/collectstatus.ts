/** Collects the state of the gates from the daemons. */
import type { Upstream } from "../config/upstream.js";
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { GateStatus } from "../peer/gatestatus.js";
import type { PeerClient } from "../peer/peerclient.js";
import type { StatusLine } from "./statusline.js";

/** Bounds the connections that are open at once, since a status call covers all daemons. */
const MAX_CONCURRENT_REQUESTS = 32;

const logger = log("operator");

const requestGateStatuses = async (peer: PeerClient, gate: Address): Promise<GateStatus[]> => {
    try {
        return await peer.status(gate);
    }
    catch (err) {
        logger.warn("A daemon did not respond to a status request; its upstreams are shown as silent.", err, {
            peer: gate,
        });
        return [];
    }
};

/** Returns one line for each upstream. Sends a status request to each daemon, and only when it is called. */
export async function collectStatus(upstreams: readonly Upstream[], peer: PeerClient): Promise<StatusLine[]> {
    const gates = [...new Set(upstreams.map(upstream => upstream.gate))];
    const statusByUpstream = new Map<string, GateStatus>();
    for (let start = 0; start < gates.length; start += MAX_CONCURRENT_REQUESTS) {
        const responses = gates.slice(start, start + MAX_CONCURRENT_REQUESTS).map(gate =>
            requestGateStatuses(peer, gate)
        );
        (await Promise.all(responses)).flat().forEach(status => statusByUpstream.set(status.upstream, status));
    }
    return upstreams.map(upstream => ({ upstream, gate: statusByUpstream.get(upstream.name) }));
}
