/** Describes a service in a simulation. */

/**
 * A number of equal upstreams. Work takes `kneeSlowdown` times as long while more than the share `knee` of the slots is
 * in use.
 */
export type ModelService = {
    readonly name: string;
    readonly upstreams: number;
    readonly slots: number;
    readonly knee: number;
    readonly kneeSlowdown: number;
};
