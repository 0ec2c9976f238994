/** What the path adds to a call, against the same load straight to the upstream, in one run. */
import { control } from "./control.js";
import type { HostPlan } from "./hostplan.js";
import type { Mesh } from "./mesh.js";
import { quantile } from "./quantile.js";
import { timePath } from "./timepath.js";

/** In milliseconds; `oneHop` is to the daemon beside the upstream, `twoHops` by another daemon of the same hall. */
type Added = {
    readonly oneHopP50Ms: number;
    readonly oneHopP99Ms: number;
    readonly twoHopsP50Ms: number;
    readonly twoHopsP99Ms: number;
};

/** A service time of 0 so that only the path is measured. */
export async function measureAdded(mesh: Mesh): Promise<Added> {
    const { hosts, spec } = mesh;
    const [target] = hosts as [HostPlan];
    const path = spec.requests[0]!.path;
    const inService = hosts.filter(host => host.service === target.service);
    const others = inService.filter(host => host !== target);
    const outside = hosts.find(host => host.place === target.place && host.service !== target.service)!;
    await Promise.all(inService.map(host => control(host.upstream, { meanMs: 0 })));
    await Promise.all(others.map(host => mesh.cli("drain", host.name)));
    const direct: number[] = [];
    const oneHop: number[] = [];
    const twoHops: number[] = [];
    for (let round = 0; round < WARM_ROUNDS + ROUNDS; round++) {
        const times = [
            await timePath(target.upstream, path),
            await timePath(target.ingress, path),
            await timePath(outside.ingress, path),
        ] as const;
        if (round >= WARM_ROUNDS) {
            direct.push(...times[0]);
            oneHop.push(...times[1]);
            twoHops.push(...times[2]);
        }
    }
    await Promise.all(others.map(host => mesh.cli("undrain", host.name)));
    await Promise.all(inService.map(host => control(host.upstream, { meanMs: spec.meanMs })));
    const added = (sample: number[], share: number): number => {
        const [with_, without] = [sample, direct].map(ms => quantile([...ms].sort((a, b) => a - b), share));
        return with_! - without!;
    };
    return {
        oneHopP50Ms: added(oneHop, 0.5),
        oneHopP99Ms: added(oneHop, 0.99),
        twoHopsP50Ms: added(twoHops, 0.5),
        twoHopsP99Ms: added(twoHops, 0.99),
    };
}

/** The first requests of a process run code that is not compiled yet. */
const WARM_ROUNDS = 2;
const ROUNDS = 3;
