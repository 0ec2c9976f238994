/** Defines the callbacks by which a client of the store reports its calls. */
import type { StoreCallKind } from "../metrics/storecallkind.js";

export type StoreEvents = {
    /** Called for each call, with or without a response, because the store charges for both. */
    readonly onCall: (kind: StoreCallKind) => void;
    /** Called for each response with the length of the request's and the response's body. */
    readonly onBytes: (bytes: number) => void;
    /** Called when open connections have not responded while new ones did. */
    readonly onUnresponsive: () => void;
};
