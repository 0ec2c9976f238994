/** The upstreams that this daemon sends requests to; it holds only those of services that it was asked for. */
import type { Document } from "../config/document.js";
import type { Upstream } from "../config/upstream.js";
import type { Hop } from "../hop/hop.js";
import type { Address } from "../ids/address.js";
import type { ServiceName } from "../ids/servicename.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { Neighbour } from "./neighbour.js";

/** Makes the way to an upstream's gate. */
type OpenHop = (upstream: Upstream) => { readonly hop: Hop; readonly local: boolean; };

/** Follows the configuration. */
export class Neighbours {
    readonly #byName = new Map<UpstreamName, Neighbour>();
    readonly #byService = new Map<ServiceName, Neighbour[]>();
    #document: Document;

    constructor(document: Document, private readonly openHop: OpenHop) {
        this.#document = document;
    }

    get all(): Iterable<Neighbour> {
        return this.#byName.values();
    }

    /** Takes in a newer document; what is known of upstreams that stay is kept. */
    apply(document: Document): void {
        this.#document = document;
        this.#byService.clear();
        const named = new Map(document.upstreams.map(upstream => [upstream.name, upstream]));
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
        const upstreams = this.#document.upstreams.filter(upstream => upstream.service === service);
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
        const { hop, local } = this.openHop(upstream);
        const neighbour = new Neighbour(upstream, hop, local);
        this.#byName.set(upstream.name, neighbour);
        return neighbour;
    }
}
