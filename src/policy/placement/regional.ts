/** Defines what the selection by region needs to know of an upstream. */
import type { RegionName } from "../../ids/regionname.js";
import type { Selectable } from "./selectable.js";

/** `sameRegion` is true if the upstream is in the ingress's own region. */
export type Regional = Selectable & {
    readonly region: RegionName;
    readonly sameRegion: boolean;
    /** `isSuspected` is true from the gate's failure to respond until its next response. */
    readonly suspicion: { readonly isSuspected: boolean; };
};
