/** Asks every daemon for the state of its gates. */
import type { Upstream } from "../config/upstream.js";
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { GateStatus } from "../peer/gatestatus.js";
import type { PeerClient } from "../peer/peerclient.js";
import type { StatusLine } from "./statusline.js";

/** Daemons asked at the same time: bounds connections when an operator asks for all. */
const AT_ONCE = 32;

const logger = log("operator");

const askGate = async (peer: PeerClient, gate: Address): Promise<GateStatus[]> => {
    try {
        return await peer.status(gate);
    }
    catch (err) {
        logger.warn("A daemon did not answer for its status; its upstreams are shown without one.", err, {
            peer: gate,
        });
        return [];
    }
};

/** One line for each upstream; asks a bounded number of daemons at once, and only when an operator asks. */
export async function collectStatus(upstreams: readonly Upstream[], peer: PeerClient): Promise<StatusLine[]> {
    const gates = [...new Set(upstreams.map(upstream => upstream.gate))];
    const said = new Map<string, GateStatus>();
    for (let at = 0; at < gates.length; at += AT_ONCE) {
        const asked = gates.slice(at, at + AT_ONCE).map(gate => askGate(peer, gate));
        (await Promise.all(asked)).flat().forEach(status => said.set(status.upstream, status));
    }
    return upstreams.map(upstream => ({ upstream, gate: said.get(upstream.name) }));
}
