/**
 * Loads the configuration and the evacuated halls at the start of the daemon.
 *
 * Reads the store and pulls from the seeds at the same time; the highest revision wins. The state that the store
 * returns may be some seconds old. The next heartbeat of a watcher, or the daemon's own watch, brings newer changes.
 */
import type { ConfigurationPuller } from "../distribution/configurationpuller.js";
import type { DocumentApplier } from "../distribution/documentapplier.js";
import type { Evacuations } from "../evacuation/evacuations.js";
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { Store } from "../store/store.js";
import type { Clock } from "../time/clock.js";

const logger = log("config");

const readFromStore = async (
    store: Store,
    evacuations: Evacuations,
    applier: DocumentApplier,
    clock: Clock,
): Promise<void> => {
    const requestedAt = clock();
    try {
        const { document, halls, isLatest } = await store.readCached();
        if (halls !== undefined) {
            evacuations.recordStoreChange(halls);
        }
        if (document !== undefined) {
            await applier.apply(document, isLatest ? requestedAt : -Infinity);
        }
    }
    catch (err) {
        logger.warn(
            "Could not read the configuration from the store at the start; until the store responds, only peers supply it.",
            err,
        );
    }
};

/** Resolves when the store and all seeds have responded or failed. If the store is down, the seeds suffice. */
export async function bootstrap(
    store: Store,
    seeds: readonly Address[],
    puller: ConfigurationPuller,
    evacuations: Evacuations,
    applier: DocumentApplier,
    clock: Clock,
): Promise<void> {
    const pulls = seeds.map(async seed => await puller.pull(Infinity, seed));
    await Promise.all([readFromStore(store, evacuations, applier, clock), ...pulls]);
}
