/** Pulls newer revisions of the configuration from peers. */
import { decodeUpdate } from "../config/decodeupdate.js";
import type { Address } from "../ids/address.js";
import { log } from "../log/log.js";
import type { Metrics } from "../metrics/metrics.js";
import type { PeerClient } from "../peer/peerclient.js";
import { Transfer } from "../peer/transfer.js";
import type { Clock } from "../time/clock.js";
import { createStepPause } from "../time/createsteppause.js";
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
        private readonly clock: Clock,
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
        const before = this.configuration.revision;
        const startedAt = this.clock();
        const transfer = new Transfer();
        const describe = (): object => ({
            peer: from,
            before,
            bytes: transfer.bytes,
            tookMs: Math.round(this.clock() - startedAt),
        });
        try {
            const update = await this.peer.update(from, before, transfer);
            this.metrics.countControlTraffic("pull", transfer.bytes);
            const receivedMs = Math.round(this.clock() - startedAt);
            if (update !== undefined) {
                const pause = createStepPause(this.clock);
                const decoded = await decodeUpdate(update, pause);
                await pause();
                this.configuration.applyUpdate(decoded);
            }
            const outcome = this.configuration.revision > before ? "newer" : "not-newer";
            this.metrics.configuration.recordPull(outcome, this.clock() - startedAt);
            logger.change("An update of the configuration was pulled from a peer.", {
                revision: this.configuration.revision,
                ...describe(),
                receivedMs,
            });
        }
        catch (err) {
            this.metrics.countControlTraffic("pull", transfer.bytes);
            this.metrics.configuration.recordPull("failed", this.clock() - startedAt);
            logger.warn("Pulling a newer configuration from a peer failed.", err, describe());
        }
    }
}
