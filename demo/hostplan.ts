/** Addresses of the processes of a host. */

/**
 * Addresses are IP:PORT on loopback. Other processes reach `peer` at `peerProxy`, and the gate reaches `upstream` at
 * `upstreamProxy`, through the proxy that injects faults. `place` is the number of the data hall, from 1.
 */
export type HostPlan = {
    readonly name: string;
    readonly service: string;
    readonly hall: string;
    readonly place: number;
    readonly ip: string;
    readonly ingress: string;
    readonly operator: string;
    readonly peer: string;
    readonly peerProxy: string;
    readonly upstream: string;
    readonly upstreamProxy: string;
};
