/** Defines the dependencies of one caller's connection. */
import type { ConnectionDependencies } from "./connectiondependencies.js";

/** What the connections of a listener provide for each of them, besides what the listener provides. */
export type OwnConnectionDependencies = ConnectionDependencies & {
    /** True during a planned stop. */
    readonly isStopping: () => boolean;
    /** Called with the memory of each request that was parsed. */
    readonly onParsed: (bytes: number) => void;
};
