/** What a client of the store tells of its calls. */
import type { StoreCallKind } from "../metrics/storecallkind.js";

export type StoreEvents = {
    /** A call is made; whether it is answered or not, the store charges it. */
    readonly called: (kind: StoreCallKind) => void;
    /** The bytes of a call that was answered. */
    readonly counted: (bytes: number) => void;
    /** A call got no answer in time, and the first one on a new connection did. */
    readonly onSilent: () => void;
};
