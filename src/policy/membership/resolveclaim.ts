/**
 * Decides which of two upstreams is at an address when one announces itself where another one is registered.
 *
 * An announcement may have been delayed while its sender crashed and another upstream registered at the same address,
 * so the order of announcements proves nothing. The decision rests on which upstream responds at the address.
 */
import type { UpstreamName } from "../../ids/upstreamname.js";
import type { Occupant } from "./occupant.js";

/**
 * Returns whether the upstream that announced itself is at the address.
 *
 * `there`: it is, or the upstream there does not report its name, so that the last announcement counts.
 * `late`: another upstream is there, and the announcement was delayed.
 * `unknown`: no upstream responds, so nothing is decided until the next announcement.
 */
export function resolveClaim(claimant: UpstreamName, occupant: Occupant): "there" | "late" | "unknown" {
    switch (occupant.type) {
        case "named":
            return occupant.name === claimant ? "there" : "late";
        case "unnamed":
            return "there";
        case "silent":
            return "unknown";
    }
}
