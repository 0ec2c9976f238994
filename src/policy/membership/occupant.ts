/** Who answers at an upstream's address. */
import type { UpstreamName } from "../../ids/upstreamname.js";

/** The name of who serves there; that somebody does who gives no name; or nobody. */
export type Occupant =
    | { readonly type: "named"; readonly name: UpstreamName; }
    | { readonly type: "unnamed"; }
    | { readonly type: "silent"; };
