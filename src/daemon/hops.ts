/** Keeps the hops to gates: one to each peer that requests are sent to. */
import type { Upstream } from "../config/upstream.js";
import type { Gate } from "../gate/gate.js";
import type { GateIdentity } from "../gate/gateidentity.js";
import { LocalHop } from "../gate/localhop.js";
import type { Hop } from "../hop/hop.js";
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";
import type { RegionName } from "../ids/regionname.js";
import type { Ledger } from "../ledger/ledger.js";
import type { PeerClient } from "../peer/peerclient.js";
import type { PeerOptions } from "../peer/peeroptions.js";
import { RemoteHop } from "../peer/remotehop.js";
import type { GateSet } from "./gateset.js";

type HopsDependencies = {
    readonly self: Address;
    readonly hall: HallName;
    readonly region: RegionName;
    readonly gateSet: GateSet;
    readonly identity: GateIdentity;
    readonly ledger: Ledger;
    readonly peer: PeerClient;
    readonly peerOptions: PeerOptions;
};

/** Opens a hop when it is first needed, and closes it when no upstream is left at its gate's address. */
export class Hops {
    readonly #remoteHops = new Map<Address, RemoteHop>();

    constructor(private readonly deps: HopsDependencies) {}

    /**
     * Returns the hop to an upstream's gate. `local` is true if the gate is in this daemon, which needs no network;
     * `sameHall` and `sameRegion` if it is in this daemon's hall and region.
     */
    open(
        upstream: Upstream,
    ): { readonly hop: Hop; readonly sameHall: boolean; readonly sameRegion: boolean; readonly local: boolean; } {
        const { self, hall, region, gateSet, identity, ledger, peerOptions, peer } = this.deps;
        if (upstream.gate === self) {
            const gate = (): Gate | undefined => gateSet.find(upstream.name);
            const hop = new LocalHop(gate, identity, ledger, peerOptions.clock);
            return { hop, sameHall: true, sameRegion: true, local: true };
        }
        const hop = this.#remoteHops.get(upstream.gate) ?? new RemoteHop(upstream.gate, peer, peerOptions);
        this.#remoteHops.set(upstream.gate, hop);
        const sameRegion = upstream.region === region;
        return { hop, sameHall: upstream.hall === hall, sameRegion, local: false };
    }

    /** Closes the idle connections to all gates, because they may be unresponsive. */
    closeIdle(): void {
        this.#remoteHops.forEach(hop => hop.closeIdle());
    }

    /** Closes the hops to addresses at which none of the upstreams has its gate. */
    apply(upstreams: readonly Upstream[]): void {
        const gateAddresses = new Set(upstreams.map(upstream => upstream.gate));
        for (const [address, hop] of this.#remoteHops) {
            if (!gateAddresses.has(address)) {
                this.#remoteHops.delete(address);
                void hop.close();
            }
        }
    }
}
