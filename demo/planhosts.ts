/** Assigns loopback addresses to the hosts of a mesh: 127.RUN.HALL.HOST, each a number. */
import type { HostPlan } from "./hostplan.js";
import type { MeshSpec } from "./meshspec.js";

const FIRST_HOST_NUMBER = 10;

/** Returns one host for each instance, with the data halls in turn. */
export function planHosts(spec: MeshSpec, runNumber: number): HostPlan[] {
    const instances = spec.services.flatMap(service =>
        Array.from(
            { length: service.instances },
            (_, index) => ({ name: `${service.name}-${index + 1}`, service: service.name }),
        )
    );
    return instances.map(({ name, service }, index) => {
        const place = index % spec.halls.length + 1;
        const ip = `127.${runNumber}.${place}.${FIRST_HOST_NUMBER + index}`;
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
