/** Defines a call to a store over HTTP. */
import type { StoreCallKind } from "../metrics/storecallkind.js";

export type StoreCall = {
    readonly kind: StoreCallKind;
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    readonly path: string;
    readonly headers?: Record<string, string>;
    readonly body?: string;
    /** Statuses that mean that there is no value; the result does not show which of them was received. */
    readonly emptyStatuses?: readonly number[];
    /** Time for which the store may hold a watch open, in milliseconds; undefined for other calls. */
    readonly waitMs?: number;
    /** Cancels the call. */
    readonly signal?: AbortSignal;
};
