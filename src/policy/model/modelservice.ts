/** A service of a model. */

/** Upstreams of one kind; `knee`: with more of the slots in use, as a share, work takes `kneeSlowdown` as long. */
export type ModelService = {
    readonly name: string;
    readonly upstreams: number;
    readonly slots: number;
    readonly knee: number;
    readonly kneeSlowdown: number;
};
