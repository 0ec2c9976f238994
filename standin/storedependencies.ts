/** What the stand-in of a store lends to the forms in which it is called. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HostEntry } from "./hostentry.js";
import type { StoreData } from "./storedata.js";

/** Functions are asked anew by each call, since a test may change things while a watch waits. */
export type StoreDependencies = {
    readonly data: StoreData;
    readonly hosts: () => readonly HostEntry[];
    readonly isDown: () => boolean;
    /** Counts a call under a name. */
    readonly count: (name: string) => void;
    /** True when the call gets nothing more: it was refused, or is left without an answer. */
    readonly intercepts: (req: IncomingMessage, res: ServerResponse) => boolean;
    /** True when the answer to a write that is done is to be lost. */
    readonly dropsResponse: () => boolean;
    /** How often the store has come back from a copy, and one; undefined where it does not say. */
    readonly era: () => number | undefined;
};
