/**
 * Decides whether the sender of a request uses a stale rule that allows this daemon's region, while a newer revision
 * here does not.
 *
 * Such a request is refused before it runs, so that its sender looks up the rule again.
 */
import type { RegionName } from "../../ids/regionname.js";

/** The regions that the rule of this daemon's configuration allows, undefined for all, and the daemon's own region. */
type RegionRule = { readonly regions: readonly RegionName[] | undefined; readonly region: RegionName; };

/** Returns true if the sender's rule is stale; `revision` is the revision of this daemon's rules. */
export function isStaleRegion(
    sender: { readonly revision: number; },
    { regions, region }: RegionRule,
    revision: number,
): boolean {
    return sender.revision < revision && regions !== undefined && !regions.includes(region);
}
