/** Measures the latency that daemons add to a request, compared with the same load sent directly to the upstream. */
import { control } from "./control.js";
import type { HostPlan } from "./hostplan.js";
import type { Mesh } from "./mesh.js";
import { quantile } from "./quantile.js";
import { timePath } from "./timepath.js";

/**
 * In milliseconds. With `oneHop`, requests enter at the local daemon of the upstream, with `twoHops` at another daemon
 * in the same data hall.
 */
type AddedLatency = {
    readonly oneHopP50Ms: number;
    readonly oneHopP99Ms: number;
    readonly twoHopsP50Ms: number;
    readonly twoHopsP99Ms: number;
};

/**
 * Resolves with the added latency. Sets the service time to 0, so that only the path is measured, and drains the other
 * upstreams of the service, so that all requests reach the same one.
 */
export async function measureAddedLatency(mesh: Mesh): Promise<AddedLatency> {
    const { hosts, spec } = mesh;
    const [target] = hosts as [HostPlan];
    const path = spec.requests[0]!.path;
    const serviceHosts = hosts.filter(host => host.service === target.service);
    const siblings = serviceHosts.filter(host => host !== target);
    const entryHost = hosts.find(host => host.place === target.place && host.service !== target.service)!;
    await Promise.all(serviceHosts.map(host => control(host.upstream, { meanMs: 0 })));
    await Promise.all(siblings.map(host => mesh.cli("drain", host.name)));
    const direct: number[] = [];
    const oneHop: number[] = [];
    const twoHops: number[] = [];
    for (let round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
        const times = [
            await timePath(target.upstream, path),
            await timePath(target.ingress, path),
            await timePath(entryHost.ingress, path),
        ] as const;
        if (round >= WARM_UP_ROUNDS) {
            direct.push(...times[0]);
            oneHop.push(...times[1]);
            twoHops.push(...times[2]);
        }
    }
    await Promise.all(siblings.map(host => mesh.cli("undrain", host.name)));
    await Promise.all(serviceHosts.map(host => control(host.upstream, { meanMs: spec.meanMs })));
    const added = (sample: number[], share: number): number => {
        const [throughDaemons, directly] = [sample, direct].map(ms => quantile([...ms].sort((a, b) => a - b), share));
        return throughDaemons! - directly!;
    };
    return {
        oneHopP50Ms: added(oneHop, 0.5),
        oneHopP99Ms: added(oneHop, 0.99),
        twoHopsP50Ms: added(twoHops, 0.5),
        twoHopsP99Ms: added(twoHops, 0.99),
    };
}

/** Rounds that are not counted, since the first requests of a process run code that is not yet compiled. */
const WARM_UP_ROUNDS = 2;
const ROUNDS = 3;
