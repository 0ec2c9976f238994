/** What a model is made of: services, what callers send, and what goes wrong when. Times in milliseconds. */
import type { Priority } from "../../config/priority.js";
import type { LimitName } from "../admission/limitname.js";

/** Upstreams of one kind; `knee`: with more of the slots in use, as a share, work takes `kneeTimes` as long. */
export type ModelService = {
    readonly name: string;
    readonly upstreams: number;
    readonly slots: number;
    readonly knee: number;
    readonly kneeTimes: number;
};

/** Requests of one kind. `calls`: a share of the runs makes one call, half way through. */
export type ModelClass = {
    readonly name: string;
    readonly service: string;
    readonly priority: Priority;
    readonly perSecond: number;
    readonly workMs: number;
    readonly targetMs: number;
    readonly timeLimitMs: number;
    /** How long a caller waits, its second try among it. */
    readonly callerMs: number;
    readonly worth: number;
    readonly calls?: { readonly name: string; readonly share: number; };
};

/** A call between services: as a class, but for who sends it. */
export type ModelCall = Pick<ModelClass, "name" | "service" | "priority" | "workMs" | "targetMs" | "timeLimitMs">;

/** `times` the load for a while; a share of a service's upstreams gone for good; all hosts restarted, their upstreams cold. */
export type ModelTrouble =
    | { readonly type: "burst"; readonly at: number; readonly forMs: number; readonly times: number; }
    | { readonly type: "loss"; readonly at: number; readonly service: string; readonly count: number; }
    | { readonly type: "restart"; readonly at: number; readonly downMs: number; };

/** Its own rule's, its request's, or the one above its request's, for the work already done. */
export type CallClass = "own" | "inherited" | "raised";

/** A part that is switched off, to see what it is worth. */
export type ModelPolicy = {
    readonly limit: LimitName;
    /** Slots stay free while the upstream works slowly. */
    readonly waitsForPace: boolean;
    /** What a gate has learnt of its upstream outlasts a restart. */
    readonly remembers: boolean;
    /** In which class a call waits. */
    readonly calls: CallClass;
    /** Gates send requests on to others. */
    readonly moves: boolean;
};

export type Scenario = {
    readonly lengthMs: number;
    readonly services: readonly ModelService[];
    readonly classes: readonly ModelClass[];
    readonly calls: readonly ModelCall[];
    /** At each moment a share of the upstreams works `times` as long; drawn again every so often. */
    readonly noise: { readonly share: number; readonly times: number; readonly everyMs: number; };
    /** After a start work takes `times` as long. */
    readonly cold: { readonly forMs: number; readonly times: number; };
    readonly troubles: readonly ModelTrouble[];
    readonly policy: ModelPolicy;
};
