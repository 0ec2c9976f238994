/** Defines what the state of one upstream depends on. */
import type { Hop } from "../hop/hop.js";
import type { RegionRoundTrips } from "../policy/placement/regionroundtrips.js";
import type { UpstreamStatements } from "./upstreamstatements.js";
import type { UpstreamView } from "./upstreamview.js";

/** Dependencies of a view, and the properties of its upstream that do not change. */
export type UpstreamViewDependencies = {
    readonly hop: Hop;
    /** True if the upstream is in this daemon's data hall. */
    readonly sameHall: boolean;
    /** True if the upstream is in this daemon's region. */
    readonly sameRegion: boolean;
    /** True if the upstream is on this daemon's host. */
    readonly local: boolean;
    /** Returns true while operators have evacuated the upstream's data hall. */
    readonly isEvacuated: () => boolean;
    readonly statements: UpstreamStatements;
    /** The round trips to gates of other regions. */
    readonly regionRoundTrips: RegionRoundTrips;
    /** Called for each request that is sent to the upstream. */
    readonly onSent: (view: UpstreamView) => void;
};
