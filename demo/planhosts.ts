/** Lays a mesh out over loopback addresses: the second number is the run, the third the hall, the fourth the host. */
import type { HostPlan } from "./hostplan.js";
import type { MeshSpec } from "./meshspec.js";

const FIRST_HOST = 10;

/** One host for each instance, the halls in turn. */
export function planHosts(spec: MeshSpec, run: number): HostPlan[] {
    const names = spec.services.flatMap(service =>
        Array.from(
            { length: service.instances },
            (_, at) => ({ name: `${service.name}-${at + 1}`, service: service.name }),
        )
    );
    return names.map(({ name, service }, at) => {
        const place = at % spec.halls.length + 1;
        const ip = `127.${run}.${place}.${FIRST_HOST + at}`;
        return {
            name,
            service,
            hall: spec.halls[place - 1]!,
            place,
            ip,
            ingress: `${ip}:7080`,
            operator: `${ip}:7090`,
            peer: `${ip}:7100`,
            peerProxy: `${ip}:7101`,
            upstream: `${ip}:7200`,
            upstreamProxy: `${ip}:7201`,
        };
    });
}
