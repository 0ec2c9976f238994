/** Counts what a client of the store tells of its calls. */
import type { Metrics } from "../metrics/metrics.js";
import type { StoreEvents } from "./storeevents.js";

/** Calls by their kind, bytes as spent for control, silent connections by their kind. */
export function countStoreEvents(metrics: Metrics): StoreEvents {
    return {
        called: kind => metrics.storeCalled(kind),
        counted: bytes => metrics.spent("store", bytes),
        onSilent: () => metrics.silentConnection("store"),
    };
}
