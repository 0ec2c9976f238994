/**
 * An upstream announces itself at an address where another one is known: which of the two is there?
 *
 * An announcement may have been held up while its sender crashed and another upstream registered at the same address, so the later word
 * proves nothing. The address itself is asked who answers there.
 */
import type { UpstreamName } from "../../ids/upstreamname.js";
import type { Occupant } from "./occupant.js";

/** `late`: the other one is there; `unknown`: nothing is decided until the next announcement. Without names the last word counts. */
export function judgeClaim(claimant: UpstreamName, occupant: Occupant): "there" | "late" | "unknown" {
    switch (occupant.type) {
        case "named":
            return occupant.name === claimant ? "there" : "late";
        case "unnamed":
            return "there";
        case "silent":
            return "unknown";
    }
}
