/** The configuration of a mesh, as a file for `winglock apply`. */
import type { HostPlan } from "./hostplan.js";
import type { MeshSpec } from "./meshspec.js";

/** Every upstream is reached by its gate only; `direct` leaves the proxy between gate and upstream out. */
export function meshDocument(spec: MeshSpec, hosts: readonly HostPlan[], direct: boolean): object {
    return {
        services: spec.services.map(({ name }) => ({ name })),
        upstreams: hosts.map(host => ({
            name: host.name,
            service: host.service,
            host: host.name,
            address: direct ? host.upstream : host.upstreamProxy,
            gate: host.peerProxy,
            hall: host.hall,
            region: spec.region,
            slots: spec.slots,
        })),
        rules: spec.rules,
    };
}
