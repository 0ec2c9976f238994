/** Gets what is newer from a peer. */
import { parse } from "../config/parse.js";
import { Update } from "../config/update.js";
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { Metrics } from "../metrics/metrics.js";
import type { PeerClient } from "../peer/peerclient.js";
import { sleep } from "../time/sleep.js";
import type { CurrentConfiguration } from "./currentconfiguration.js";

const logger = log("config");

/** For which a request waits for a newer configuration, in milliseconds: a call to a peer, and a margin. */
const SOON_MS = 250;

/** One pull at a time; what is asked for meanwhile shares it. */
export class ConfigurationPuller {
    #pulling: Promise<void> | undefined;

    constructor(
        private readonly configuration: CurrentConfiguration,
        private readonly peer: PeerClient,
        private readonly metrics: Metrics,
    ) {}

    /** Resolves when the peer was asked, whatever came of it; does nothing when `revision` is not newer. */
    async pull(revision: number, from: Address): Promise<void> {
        if (revision <= this.configuration.revision) {
            return;
        }
        this.#pulling ??= this.#ask(from).finally(() => this.#pulling = undefined);
        await this.#pulling;
    }

    /** The same, but a request waits for it: resolves after a quarter of a second at the latest. */
    async pullSoon(revision: number, from: Address | undefined): Promise<void> {
        if (revision > this.configuration.revision && from !== undefined) {
            await Promise.race([this.pull(revision, from), sleep(SOON_MS)]);
        }
    }

    async #ask(from: Address): Promise<void> {
        try {
            const update = await this.peer.update(from, this.configuration.revision);
            if (update !== undefined) {
                this.metrics.spent("pull", JSON.stringify(update).length);
                this.configuration.applyUpdate(parse(Update, update));
            }
        }
        catch (err) {
            logger.warn("The peer gave no newer revision.", err, { peer: from });
        }
    }
}
