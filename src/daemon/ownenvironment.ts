/** Defines the environment of a standalone daemon: its own header fields and the store of docs/DESIGN.md. */
import { OwnDialect } from "../dialect/owndialect.js";
import { splitAddress } from "../ids/splitaddress.js";
import type { Metrics } from "../metrics/metrics.js";
import { confirmationIntervalMs } from "../policy/access/confirmationintervalms.js";
import { keyedAgeLimitMs } from "../policy/access/keyedagelimitms.js";
import { countStoreEvents } from "../store/countstoreevents.js";
import { HttpStore } from "../store/httpstore.js";
import type { Environment } from "./environment.js";
import type { Settings } from "./settings.js";

/** Creates an environment without a registry; `metrics` counts the calls to its store and their bytes. */
export function ownEnvironment(settings: Settings, metrics: Metrics): Environment {
    const localIp = splitAddress(settings.peer).ip;
    const maxWatchMs = confirmationIntervalMs(keyedAgeLimitMs(settings.policy.keys.maxConfigurationAgeMs));
    const store = new HttpStore(settings.store, localIp, countStoreEvents(metrics), maxWatchMs);
    return { dialect: new OwnDialect(), store, registry: undefined };
}
