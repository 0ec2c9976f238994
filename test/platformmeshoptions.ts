/** Defines the options of a platform mesh. */

/** What differs from the daemons of the tests: the script, flags of Node, the limit on descriptors, and settings. */
export type PlatformMeshOptions = {
    readonly script?: string;
    readonly nodeFlags?: readonly string[];
    readonly maxDescriptors?: number;
    readonly settings?: object;
    readonly announceEveryMs?: number;
};
