/** The upstreams that this daemon sends requests to; it holds only those of services that it was asked for. */
import type { Upstream } from "../config/upstream.js";
import type { Evacuations } from "../evacuation/evacuations.js";
import type { Hop } from "../hop/hop.js";
import type { Address } from "../ids/address.js";
import type { ServiceName } from "../ids/servicename.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { UpstreamStatements } from "./upstreamstatements.js";
import { UpstreamView } from "./upstreamview.js";

/** Opens the way to an upstream's gate. */
type OpenHop = (upstream: Upstream) => { readonly hop: Hop; readonly near: boolean; readonly local: boolean; };

/** Follows the upstreams that there are. */
export class UpstreamTable {
    readonly #byName = new Map<UpstreamName, UpstreamView>();
    readonly #statements = new UpstreamStatements();
    readonly #byService = new Map<ServiceName, UpstreamView[]>();
    /** Those that requests have been sent to, until failure detection has nothing to ask there. */
    readonly #unsettled = new Set<UpstreamView>();
    #upstreams: readonly Upstream[] = [];

    constructor(private readonly openHop: OpenHop, private readonly evacuations: Evacuations) {}

    /** Those that requests have been sent to since `settle`. */
    get unsettled(): Iterable<UpstreamView> {
        return this.#unsettled;
    }

    /** Leaves one out until the next request is sent there. */
    settle(view: UpstreamView): void {
        this.#unsettled.delete(view);
    }

    /** Applies which upstreams there are; what is known of those that stay is kept. */
    apply(all: readonly Upstream[]): void {
        this.#upstreams = all;
        this.#byService.clear();
        const named = new Map(all.map(upstream => [upstream.name, upstream]));
        for (const [name, view] of this.#byName) {
            const settings = named.get(name);
            if (settings?.gate === view.settings.gate && settings.service === view.settings.service) {
                view.settings = settings;
            }
            else {
                this.#byName.delete(name);
                this.#unsettled.delete(view);
            }
        }
    }

    ofService(service: ServiceName): readonly UpstreamView[] {
        const known = this.#byService.get(service);
        if (known !== undefined) {
            return known;
        }
        const upstreams = this.#upstreams.filter(upstream => upstream.service === service);
        const views = upstreams.map(upstream => this.#view(upstream));
        this.#byService.set(service, views);
        return views;
    }

    find(name: UpstreamName): UpstreamView | undefined {
        return this.#byName.get(name);
    }

    /** Those behind one gate. */
    atGate(gate: Address): UpstreamView[] {
        return [...this.#byName.values()].filter(view => view.settings.gate === gate);
    }

    #view(upstream: Upstream): UpstreamView {
        const known = this.#byName.get(upstream.name);
        if (known !== undefined) {
            return known;
        }
        const { hop, near, local } = this.openHop(upstream);
        const view = new UpstreamView(upstream, {
            hop,
            near,
            local,
            statements: this.#statements,
            isEvacuated: () => this.evacuations.isEvacuated(upstream.hall),
            onSent: sent => this.#unsettled.add(sent),
        });
        this.#byName.set(upstream.name, view);
        return view;
    }
}
