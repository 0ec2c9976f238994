/** What a mesh is made of. */

/** A service and how many instances it has. */
type ServiceSpec = { readonly name: string; readonly instances: number; };

/** A kind of request that callers send; `share` of all requests. */
type RequestSpec = {
    readonly name: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly share: number;
    readonly once: boolean;
};

/** Times in milliseconds; `betweenMs` is one way between data halls. */
export type MeshSpec = {
    readonly name: string;
    readonly region: string;
    readonly halls: readonly string[];
    readonly betweenMs: number;
    readonly slots: number;
    readonly meanMs: number;
    readonly services: readonly ServiceSpec[];
    readonly rules: readonly Record<string, unknown>[];
    readonly requests: readonly RequestSpec[];
    readonly profile: "frugal" | "responsive";
};
