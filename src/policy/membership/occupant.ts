/** The result of a probe that identifies the upstream at an address. */
import type { UpstreamName } from "../../ids/upstreamname.js";

/** `named`: the upstream reports its name. `unnamed`: one responds without a name. `silent`: no upstream responds. */
export type Occupant =
    | { readonly type: "named"; readonly name: UpstreamName; }
    | { readonly type: "unnamed"; }
    | { readonly type: "silent"; };
