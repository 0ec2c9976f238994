/** Defines the options of a platform mesh. */

/** What differs from the daemons of the tests: the script, command-line flags of Node, and settings. */
export type PlatformMeshOptions = {
    readonly script?: string;
    readonly nodeFlags?: readonly string[];
    readonly settings?: object;
    readonly announceEveryMs?: number;
};
