/** Counts the calls to the store in the metrics. */
import type { Metrics } from "../metrics/metrics.js";
import type { StoreEvents } from "./storeevents.js";

/** Returns callbacks that count calls by kind, the bytes of control traffic, and unresponsive connections. */
export function countStoreEvents(metrics: Metrics): StoreEvents {
    return {
        onCall: kind => metrics.countStoreCall(kind),
        onBytes: bytes => metrics.countControlTraffic("store", bytes),
        onUnresponsive: () => metrics.countUnresponsiveConnection("store"),
    };
}
