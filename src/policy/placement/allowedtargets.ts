/**
 * Decides to which upstreams a request may be sent by the regions that its rule and its team allow.
 *
 * An upstream of another region whose gate does not respond is left out as well: such a request is refused at once
 * rather than sent to an unresponsive gate, since no other region may serve it. Pings find out when the gate responds
 * again; until then no request probes it, since its caller would get 502 (the request may have run).
 */
import type { RegionName } from "../../ids/regionname.js";
import type { Regional } from "./regional.js";

/** Returns the targets that every one of the lists allows; an undefined list allows all regions. */
export function allowedTargets<Target extends Regional>(
    all: readonly Target[],
    lists: readonly (readonly RegionName[] | undefined)[],
): readonly Target[] {
    const limits = lists.filter(list => list !== undefined);
    if (limits.length === 0) {
        return all;
    }
    return all.filter(target =>
        limits.every(list => list.includes(target.region))
        && (target.sameRegion || !target.suspicion.isSuspected)
    );
}
