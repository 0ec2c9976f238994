/** Configuration of a mesh, in the form that `winglock apply` reads. */
import type { HostPlan } from "./hostplan.js";
import type { MeshSpec } from "./meshspec.js";

/** Returns the document. With `direct`, the gate of an upstream connects to the upstream without the proxy. */
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
            region: spec.regionByHall?.[host.hall] ?? spec.region,
            slots: spec.slots,
        })),
        rules: spec.rules,
    };
}
