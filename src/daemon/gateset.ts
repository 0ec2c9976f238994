/** Opens and closes the gates of one daemon as the upstreams change. */
import type { Upstream } from "../config/upstream.js";
import type { CloseReason } from "../gate/closereason.js";
import type { Gate } from "../gate/gate.js";
import type { Address } from "../ids/address.js";
import type { UpstreamName } from "../ids/upstreamname.js";

const DRAINING = "draining";
const REMOVED = "removed";

const hasSameGateSettings = (a: Upstream, b: Upstream): boolean =>
    a.address === b.address && a.slots === b.slots && a.connections === b.connections && a.service === b.service;

/** Holds one gate for each upstream whose `gate` is this daemon's address. */
export class GateSet {
    readonly #gates = new Map<UpstreamName, Gate>();
    readonly #closeReasons = new Set<CloseReason>();

    constructor(private readonly self: Address, private readonly makeGate: (upstream: Upstream) => Gate) {}

    get all(): Iterable<Gate> {
        return this.#gates.values();
    }

    find(name: UpstreamName): Gate | undefined {
        return this.#gates.get(name);
    }

    /**
     * Opens and closes gates to match the present upstreams. A gate whose upstream is gone or has other settings
     * completes the requests that it has, but takes no new ones.
     */
    apply(upstreams: readonly Upstream[]): void {
        const localUpstreams = upstreams.filter(upstream => upstream.gate === this.self);
        const upstreamByName = new Map(localUpstreams.map(upstream => [upstream.name, upstream]));
        for (const gate of [...this.#gates.values()]) {
            const upstream = upstreamByName.get(gate.upstream.name);
            if (upstream === undefined || !hasSameGateSettings(upstream, gate.upstream)) {
                this.#gates.delete(gate.upstream.name);
                gate.close(REMOVED);
                void gate.shutDown();
            }
        }
        for (const upstream of localUpstreams) {
            const gate = this.#gates.get(upstream.name) ?? this.#open(upstream);
            this.#updateCloseReason(gate, DRAINING, upstream.draining);
        }
    }

    /** Closes all gates to new requests for `reason`, also gates that are opened later; or withdraws the reason. */
    setClosed(reason: CloseReason, isClosed: boolean): void {
        if (isClosed) {
            this.#closeReasons.add(reason);
        }
        else {
            this.#closeReasons.delete(reason);
        }
        for (const gate of this.#gates.values()) {
            this.#updateCloseReason(gate, reason, isClosed);
        }
    }

    /** Returns the number of requests that are running or queued at all gates. */
    pendingCount(): number {
        return [...this.#gates.values()].reduce((sum, gate) => sum + gate.pendingCount, 0);
    }

    #open(upstream: Upstream): Gate {
        const gate = this.makeGate(upstream);
        this.#gates.set(upstream.name, gate);
        this.#closeReasons.forEach(reason => gate.close(reason));
        return gate;
    }

    #updateCloseReason(gate: Gate, reason: CloseReason, isClosed: boolean): void {
        if (isClosed) {
            gate.close(reason);
        }
        else {
            gate.reopen(reason);
        }
    }
}
