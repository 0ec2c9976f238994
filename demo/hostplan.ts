/** Where one host's processes listen. */

/** All on loopback; `peer` and `upstream` are reached by others through the proxy. */
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
