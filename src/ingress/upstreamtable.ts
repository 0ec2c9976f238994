/**
 * The table of upstreams that this daemon sends requests to.
 *
 * Creates the view of an upstream when its service is first requested, and keeps it while the upstream is configured.
 */
import type { Upstream } from "../config/upstream.js";
import type { Evacuations } from "../evacuation/evacuations.js";
import type { Hop } from "../hop/hop.js";
import type { Address } from "../ids/address.js";
import type { ServiceName } from "../ids/servicename.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { Overflow } from "../policy/placement/overflow.js";
import { RegionRoundTrips } from "../policy/placement/regionroundtrips.js";
import { UpstreamStatements } from "./upstreamstatements.js";
import { UpstreamView } from "./upstreamview.js";

/** Opens a hop to an upstream's gate. */
type OpenHop = (
    upstream: Upstream,
) => { readonly hop: Hop; readonly sameHall: boolean; readonly sameRegion: boolean; readonly local: boolean; };

/** Holds one view per upstream. */
export class UpstreamTable {
    readonly #byName = new Map<UpstreamName, UpstreamView>();
    readonly #statements = new UpstreamStatements();
    readonly #regionRoundTrips = new RegionRoundTrips();
    readonly #byService = new Map<ServiceName, UpstreamView[]>();
    readonly #monitored = new Set<UpstreamView>();
    readonly #overflows = new Map<ServiceName, Overflow>();
    #upstreams: readonly Upstream[] = [];

    constructor(private readonly openHop: OpenHop, private readonly evacuations: Evacuations) {}

    /** The upstreams that requests were sent to and that the failure detector still has to check. */
    get monitored(): Iterable<UpstreamView> {
        return this.#monitored;
    }

    /** Excludes an upstream from failure detection until the next request is sent to it. */
    stopMonitoring(view: UpstreamView): void {
        this.#monitored.delete(view);
    }

    /** Replaces the list of upstreams; the views of those with an unchanged gate and service are kept. */
    apply(upstreams: readonly Upstream[]): void {
        this.#upstreams = upstreams;
        this.#byService.clear();
        const byName = new Map(upstreams.map(upstream => [upstream.name, upstream]));
        for (const [name, view] of this.#byName) {
            const settings = byName.get(name);
            if (settings?.gate === view.settings.gate && settings.service === view.settings.service) {
                view.settings = settings;
            }
            else {
                this.#byName.delete(name);
                this.#monitored.delete(view);
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

    /** Returns the results of this daemon's attempts at the service, which decide where its requests go on overflow. */
    overflow(service: ServiceName): Overflow {
        const known = this.#overflows.get(service) ?? new Overflow();
        this.#overflows.set(service, known);
        return known;
    }

    find(name: UpstreamName): UpstreamView | undefined {
        return this.#byName.get(name);
    }

    /** Returns the upstreams behind one gate. */
    atGate(gate: Address): UpstreamView[] {
        return [...this.#byName.values()].filter(view => view.settings.gate === gate);
    }

    #view(upstream: Upstream): UpstreamView {
        const known = this.#byName.get(upstream.name);
        if (known !== undefined) {
            return known;
        }
        const { hop, sameHall, sameRegion, local } = this.openHop(upstream);
        const view = new UpstreamView(upstream, {
            hop,
            sameHall,
            sameRegion,
            local,
            statements: this.#statements,
            regionRoundTrips: this.#regionRoundTrips,
            isEvacuated: () => this.evacuations.isEvacuated(upstream.hall),
            onSent: sent => this.#monitored.add(sent),
        });
        this.#byName.set(upstream.name, view);
        return view;
    }
}
