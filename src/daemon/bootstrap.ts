/**
 * Gets a configuration, and which halls are evacuated, at start: the highest of what the store and the seeds give.
 *
 * What the store gives may be some seconds old, which a daemon that has just started is anyhow to its peers: the next heartbeat of a
 * watcher, or the watch itself, brings what is newer.
 */
import type { ConfigurationPuller } from "../distribution/configurationpuller.js";
import type { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import { decodeDocument } from "../distribution/decodedocument.js";
import type { Evacuations } from "../evacuation/evacuations.js";
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { Store } from "../store/store.js";
import type { Clock } from "../time/clock.js";

const logger = log("config");

const readStore = async (
    store: Store,
    configuration: CurrentConfiguration,
    evacuations: Evacuations,
    clock: Clock,
): Promise<void> => {
    const requestedAt = clock();
    try {
        const { document, halls, isNewest } = await store.readCached();
        if (halls !== undefined) {
            evacuations.recordStoreChange(halls);
        }
        if (document !== undefined) {
            configuration.apply(decodeDocument(document.value));
        }
        if (isNewest) {
            configuration.confirm(configuration.revision, requestedAt);
        }
    }
    catch (err) {
        logger.warn("The store gave no configuration.", err);
    }
};

/** Resolves when all have answered or failed; the store may be down, and then the seeds suffice. */
export async function bootstrap(
    store: Store,
    seeds: readonly Address[],
    configuration: CurrentConfiguration,
    puller: ConfigurationPuller,
    evacuations: Evacuations,
    clock: Clock,
): Promise<void> {
    const pulls = seeds.map(async seed => await puller.pull(Infinity, seed));
    await Promise.all([readStore(store, configuration, evacuations, clock), ...pulls]);
}
