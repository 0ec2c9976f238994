/**
 * Decodes and applies the documents that were read from the store.
 *
 * Decodes one document at a time and only the newest of those that wait, and rests after each, so that many versions in
 * a short time cost little more than two.
 */
import { checkReferences } from "../config/checkreferences.js";
import { ConfigError } from "../config/configerror.js";
import { log } from "../log/log.js";
import type { StoredDocument } from "../store/storeddocument.js";
import type { Clock } from "../time/clock.js";
import { createStepPause } from "../time/createsteppause.js";
import { sleep } from "../time/sleep.js";
import type { CurrentConfiguration } from "./currentconfiguration.js";
import type { DocumentRejection } from "./documentrejection.js";

const logger = log("config");

/** Rest after a document, as a multiple of the time that it took: decoding takes at most a twentieth of the time. */
const REST_FACTOR = 20;
/** A third of the time in which a change has to be in force. */
const MAX_REST_MS = 700;

type Waiting = { readonly stored: StoredDocument; readonly requestedAt: number; readonly receivedAt: number; };

/** An invalid document leaves the previous one in force, and is recorded as rejected. */
export class DocumentApplier {
    #waiting: Waiting | undefined;
    #applying: Promise<void> | undefined;
    #restsUntil = -Infinity;

    constructor(
        private readonly configuration: CurrentConfiguration,
        private readonly rejection: DocumentRejection,
        private readonly clock: Clock,
    ) {}

    /** True while no document waits or is being decoded. */
    get isIdle(): boolean {
        return this.#applying === undefined;
    }

    /**
     * Applies a document that was the newest one in the store at `requestedAt`, unless a newer one is passed meanwhile.
     * Resolves when the newest one is applied or rejected; never rejects.
     */
    apply(stored: StoredDocument, requestedAt: number): Promise<void> {
        this.#waiting = { stored, requestedAt, receivedAt: this.clock() };
        this.#applying ??= this.#applyWaiting().finally(() => this.#applying = undefined);
        return this.#applying;
    }

    async #applyWaiting(): Promise<void> {
        for (let next = this.#waiting; next !== undefined; next = this.#waiting) {
            const restMs = this.#restsUntil - this.clock();
            if (restMs > 0) {
                await sleep(restMs);
            }
            const { stored, requestedAt, receivedAt } = this.#waiting!;
            this.#waiting = undefined;
            const startedAt = this.clock();
            await this.#decodeAndApply(stored);
            const endedAt = this.clock();
            logger.change("A document that was read from the store has been handled.", {
                revision: this.configuration.revision,
                storeVersion: stored.version,
                waitedMs: Math.round(startedAt - receivedAt),
                tookMs: Math.round(endedAt - startedAt),
            });
            this.#restsUntil = endedAt + Math.min(MAX_REST_MS, REST_FACTOR * (endedAt - startedAt));
            if (this.#waiting === undefined) {
                this.configuration.confirm(this.configuration.revision, requestedAt);
            }
        }
    }

    async #decodeAndApply(stored: StoredDocument): Promise<void> {
        try {
            const pause = createStepPause(this.clock);
            const document = await stored.decode(pause);
            await pause();
            const issues = checkReferences(document);
            if (issues.length > 0) {
                throw new ConfigError(issues);
            }
            this.configuration.apply(document);
            this.rejection.end();
        }
        catch (err) {
            this.rejection.record(err, this.clock());
        }
    }
}
