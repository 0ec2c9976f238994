/** Defines the options of a platform mesh. */

/**
 * What differs from the daemons and instances of the tests: the script, flags of Node, the limit on descriptors, settings,
 * and the slots of each instance.
 */
export type PlatformMeshOptions = {
    readonly script?: string;
    readonly nodeFlags?: readonly string[];
    readonly maxDescriptors?: number;
    readonly settings?: object;
    readonly announceEveryMs?: number;
    readonly slots?: number;
};
