/** Describes the disturbances in a simulation. */

/**
 * `burst` multiplies the load by `loadFactor` for a while. `loss` stops `count` upstreams of a service permanently.
 * `restart` restarts all hosts, and their upstreams are cold afterwards. `evacuate` sends no new requests to the
 * upstreams of a data hall for a while; they are cold at its end. Times are milliseconds.
 */
export type ModelTrouble =
    | { readonly type: "burst"; readonly atMs: number; readonly durationMs: number; readonly loadFactor: number; }
    | { readonly type: "loss"; readonly atMs: number; readonly service: string; readonly count: number; }
    | { readonly type: "restart"; readonly atMs: number; readonly downMs: number; }
    | { readonly type: "evacuate"; readonly atMs: number; readonly durationMs: number; readonly hall: number; };
