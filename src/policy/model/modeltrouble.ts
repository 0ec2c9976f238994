/** What goes wrong in a model. Times in milliseconds. */

/** `times` the load for a while; a share of a service's upstreams gone for good; all hosts restarted, their upstreams cold; nothing
 * new sent to a hall's upstreams for a while, cold at its end. */
export type ModelTrouble =
    | { readonly type: "burst"; readonly atMs: number; readonly durationMs: number; readonly loadFactor: number; }
    | { readonly type: "loss"; readonly atMs: number; readonly service: string; readonly count: number; }
    | { readonly type: "restart"; readonly atMs: number; readonly downMs: number; }
    | { readonly type: "evacuate"; readonly atMs: number; readonly durationMs: number; readonly hall: number; };
