/** Counts what a client of the store tells of its calls. */
import type { Metrics } from "../metrics/metrics.js";
import type { StoreEvents } from "./storeevents.js";

/** Bytes as spent for control, silent connections by their kind. */
export function countStoreEvents(metrics: Metrics): StoreEvents {
    return {
        counted: bytes => metrics.spent("store", bytes),
        onSilent: () => metrics.silentConnection("store"),
    };
}
