/** Describes a simulation of uneven halls. Times are milliseconds. */
import type { ModelCall } from "./modelcall.js";

export type UnevenHallsOptions = {
    readonly lengthMs: number;
    /** The services, with the number of upstreams in each hall. */
    readonly services: readonly { readonly name: string; readonly upstreamsByHall: readonly number[]; }[];
    /** The requests of all halls together; `split` sends a share of them to another service. */
    readonly classes: readonly (ModelCall & {
        readonly perSecond: number;
        readonly split?: { readonly service: string; readonly share: number; };
    })[];
};
