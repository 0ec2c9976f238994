/** Specification of a mesh. */

/** Service and its number of instances. */
type ServiceSpec = { readonly name: string; readonly instances: number; };

/** Kind of request that callers send. `share` is its share of all requests; `once` means that it may run only once. */
type RequestSpec = {
    readonly name: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly share: number;
    readonly once: boolean;
};

/**
 * Services, rules and load of a mesh. `betweenMs` is the one-way delay between data halls and `meanMs` the mean service
 * time of an instance, both in milliseconds. `slots` is the number of requests that an instance runs at once.
 */
export type MeshSpec = {
    readonly name: string;
    readonly region: string;
    /** The regions of halls that are not in `region`, by hall. */
    readonly regionByHall?: Readonly<Record<string, string>>;
    readonly halls: readonly string[];
    readonly interHallDelayMs: number;
    readonly slots: number;
    readonly meanMs: number;
    readonly services: readonly ServiceSpec[];
    readonly rules: readonly Record<string, unknown>[];
    readonly requests: readonly RequestSpec[];
    readonly profile: "frugal" | "responsive";
};
