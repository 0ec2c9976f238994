/** Pulls newer revisions of the configuration from peers. */
import { ConfigurationUpdate } from "../config/configurationupdate.js";
import { parse } from "../config/parse.js";
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { Metrics } from "../metrics/metrics.js";
import type { PeerClient } from "../peer/peerclient.js";
import { sleep } from "../time/sleep.js";
import type { CurrentConfiguration } from "./currentconfiguration.js";

const logger = log("config");

/** Longest time for which a request waits for a newer configuration: a call to a peer and a margin. */
const REQUEST_WAIT_MS = 250;

/** Runs one pull at a time; callers that ask for another one meanwhile wait for the pull in progress. */
export class ConfigurationPuller {
    #pulling: Promise<void> | undefined;

    constructor(
        private readonly configuration: CurrentConfiguration,
        private readonly peer: PeerClient,
        private readonly metrics: Metrics,
    ) {}

    /** Pulls from a peer if `revision` is newer. Resolves when the pull has ended, also if it failed. */
    async pull(revision: number, from: Address): Promise<void> {
        if (revision <= this.configuration.revision) {
            return;
        }
        this.#pulling ??= this.#pullFrom(from).finally(() => this.#pulling = undefined);
        await this.#pulling;
    }

    /** Pulls as `pull` does, but resolves after REQUEST_WAIT_MS at the latest, because a request waits for it. */
    async pullForRequest(revision: number, from: Address | undefined): Promise<void> {
        if (revision > this.configuration.revision && from !== undefined) {
            await Promise.race([this.pull(revision, from), sleep(REQUEST_WAIT_MS)]);
        }
    }

    async #pullFrom(from: Address): Promise<void> {
        try {
            const update = await this.peer.update(from, this.configuration.revision);
            if (update !== undefined) {
                this.metrics.countControlTraffic("pull", JSON.stringify(update).length);
                this.configuration.applyUpdate(parse(ConfigurationUpdate, update));
            }
        }
        catch (err) {
            logger.warn("Pulling a newer configuration from a peer failed.", err, { peer: from });
        }
    }
}
