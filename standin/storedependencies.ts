/** What the store stand-in provides to the APIs through which it is called. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HostEntry } from "./hostentry.js";
import type { StoreData } from "./storedata.js";

/** The settings are functions, called again for each use, since a test may change a setting while a watch waits. */
export type StoreDependencies = {
    readonly data: StoreData;
    readonly hosts: () => readonly HostEntry[];
    readonly isDown: () => boolean;
    /** Counts a call of the given kind. */
    readonly count: (name: string) => void;
    /** Returns true if a fault applies to the call: it was refused here, or it gets no response. */
    readonly intercepts: (req: IncomingMessage, res: ServerResponse) => boolean;
    /** Returns true if the response to a completed write must not be sent. */
    readonly dropsResponse: () => boolean;
    /** Returns 1 plus the number of restores from a backup, or undefined if the store does not report its era. */
    readonly era: () => number | undefined;
};
