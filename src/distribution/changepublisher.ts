/**
 * Writes operators' changes of the configuration to the store by compare-and-swap.
 *
 * If the response to a write is lost, the publisher reads the document again. The document keeps the ids of its latest
 * changes, so a retried change is either found there or written once.
 */
import { applyChanges } from "../config/applychanges.js";
import { ConfigError } from "../config/configerror.js";
import { diffDocuments } from "../config/diffdocuments.js";
import type { Document } from "../config/document.js";
import type { Issue } from "../config/issue.js";
import type { ChangeId } from "../ids/changeid.js";
import { log } from "../log/log.js";
import type { Store } from "../store/store.js";
import { StoreError } from "../store/storeerror.js";
import type { ChangeRequest } from "./changerequest.js";
import type { ChangeResult } from "./changeresult.js";
import type { CurrentConfiguration } from "./currentconfiguration.js";
import { decodeDocument } from "./decodedocument.js";
import { encodeDocument } from "./encodedocument.js";

const logger = log("config");

/** Attempts for one change; with the pauses between them they take about three seconds. */
const MAX_ATTEMPTS = 8;
/** Largest encoded document: the store's limit for one value. */
const MAX_DOCUMENT_BYTES = 1024 * 1024;

/** Resolves when the given attempt may start. The daemon provides it, so that this class holds no timers. */
type Pause = (attempt: number) => Promise<void>;

const toStoreIssue = (err: unknown): Issue => ({ code: "store", path: "", message: (err as Error).message });

const revisionOf = (document: Document, id: ChangeId): number | undefined =>
    document.changes.find(change => change.id === id)?.revision;

/** Applies and looks up the changes that operators send to this daemon. */
export class ChangePublisher {
    constructor(
        private readonly store: Store,
        private readonly configuration: CurrentConfiguration,
        private readonly pause: Pause,
    ) {}

    /** Applies a change and returns its result; does not throw for failures of the store or invalid changes. */
    async apply(request: ChangeRequest): Promise<ChangeResult> {
        let mayBeWritten = false;
        let lastError: unknown;
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            if (attempt > 0) {
                await this.pause(attempt);
            }
            try {
                const result = await this.#tryApply(request, () => mayBeWritten = true);
                if (result !== undefined) {
                    return result;
                }
                mayBeWritten = false;
            }
            catch (err) {
                if (err instanceof ConfigError) {
                    return { type: "invalid", issues: err.issues };
                }
                if (!(err instanceof StoreError)) {
                    throw err;
                }
                logger.warn("A store request failed while a change was being applied.", err);
                lastError = err;
            }
        }
        return { type: mayBeWritten ? "unknown" : "not-applied", issues: [toStoreIssue(lastError)] };
    }

    /**
     * Returns the revision that a change produced, or undefined if it is not among the latest changes. Throws a
     * StoreError.
     */
    async findRevision(id: ChangeId): Promise<number | undefined> {
        const { value } = await this.store.read();
        return revisionOf(decodeDocument(value), id);
    }

    /**
     * Makes one attempt; returns undefined if another change was written meanwhile, so that this one can be retried.
     */
    async #tryApply(request: ChangeRequest, onWriteStart: () => void): Promise<ChangeResult | undefined> {
        const { value, version } = await this.store.read();
        const document = decodeDocument(value);
        this.configuration.apply(document);
        const knownRevision = revisionOf(document, request.id);
        if (knownRevision !== undefined) {
            return { type: "accepted", revision: knownRevision, difference: [] };
        }
        if (request.baseRevision !== 0 && request.baseRevision !== document.revision) {
            return { type: "conflict", revision: document.revision, latestChange: document.changes.at(-1) };
        }
        const updated = applyChanges(document, request.id, request.changes);
        const difference = diffDocuments(document, updated);
        if (request.dryRun) {
            return { type: "dry-run", revision: document.revision, difference };
        }
        return await this.#write(updated, version, difference, onWriteStart);
    }

    /** Writes the document; returns undefined if its version in the store is no longer `version`. */
    async #write(
        updated: Document,
        version: number,
        difference: string[],
        onWriteStart: () => void,
    ): Promise<ChangeResult | undefined> {
        const value = encodeDocument(updated);
        if (Buffer.byteLength(value) > MAX_DOCUMENT_BYTES) {
            const message = `the document would be larger than ${MAX_DOCUMENT_BYTES} bytes`;
            throw new ConfigError([{ code: "too-large", path: "", message }]);
        }
        onWriteStart();
        if (!await this.store.write(value, version)) {
            return undefined;
        }
        this.configuration.apply(updated);
        return { type: "accepted", revision: updated.revision, difference };
    }
}
