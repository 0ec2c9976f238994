/** The upstreams that this daemon sends requests to; it holds only those of services that it was asked for. */
import type { Upstream } from "../config/upstream.js";
import type { Hop } from "../hop/hop.js";
import type { Address } from "../ids/address.js";
import type { ServiceName } from "../ids/servicename.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { Neighbour } from "./neighbour.js";

/** Makes the way to an upstream's gate. */
type OpenHop = (upstream: Upstream) => { readonly hop: Hop; readonly near: boolean; readonly local: boolean; };

/** Follows the upstreams that there are. */
export class Neighbours {
    readonly #byName = new Map<UpstreamName, Neighbour>();
    readonly #byService = new Map<ServiceName, Neighbour[]>();
    #upstreams: readonly Upstream[] = [];

    constructor(private readonly openHop: OpenHop) {}

    get all(): Iterable<Neighbour> {
        return this.#byName.values();
    }

    /** Takes in which upstreams there are; what is known of those that stay is kept. */
    apply(all: readonly Upstream[]): void {
        this.#upstreams = all;
        this.#byService.clear();
        const named = new Map(all.map(upstream => [upstream.name, upstream]));
        for (const [name, neighbour] of this.#byName) {
            const settings = named.get(name);
            if (settings?.gate === neighbour.settings.gate && settings.service === neighbour.settings.service) {
                neighbour.settings = settings;
            }
            else {
                this.#byName.delete(name);
            }
        }
    }

    ofService(service: ServiceName): readonly Neighbour[] {
        const known = this.#byService.get(service);
        if (known !== undefined) {
            return known;
        }
        const upstreams = this.#upstreams.filter(upstream => upstream.service === service);
        const neighbours = upstreams.map(upstream => this.#neighbour(upstream));
        this.#byService.set(service, neighbours);
        return neighbours;
    }

    find(name: UpstreamName): Neighbour | undefined {
        return this.#byName.get(name);
    }

    /** Those behind one gate. */
    atGate(gate: Address): Neighbour[] {
        return [...this.#byName.values()].filter(neighbour => neighbour.settings.gate === gate);
    }

    #neighbour(upstream: Upstream): Neighbour {
        const known = this.#byName.get(upstream.name);
        if (known !== undefined) {
            return known;
        }
        const { hop, near, local } = this.openHop(upstream);
        const neighbour = new Neighbour(upstream, hop, near, local);
        this.#byName.set(upstream.name, neighbour);
        return neighbour;
    }
}
