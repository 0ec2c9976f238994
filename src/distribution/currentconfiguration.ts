/**
 * Holds the configuration that this daemon applies; its revision never decreases.
 *
 * Owns the document, the time at which it was last known to be the newest, and the latest patches for peers with an
 * older revision.
 */
import { applyPatch } from "../config/applypatch.js";
import type { ConfigurationUpdate } from "../config/configurationupdate.js";
import type { Document } from "../config/document.js";
import { emptyDocument } from "../config/emptydocument.js";
import { hasUniqueNames } from "../config/hasuniquenames.js";
import { makePatch } from "../config/makepatch.js";
import type { Patch } from "../config/patch.js";
import { log } from "../log/log.js";

const logger = log("config");

/** Patches kept for peers with an older revision: two hours of changes at 720 a day. */
const MAX_PATCHES = 64;

/** Six rounds of heartbeats. Without a confirmation for so long, the document may be stale. */
const MAX_FRESH_AGE_MS = 12_000;

/** Calls its listeners after each change, in the order in which they were added. */
export class CurrentConfiguration {
    readonly #patches: Patch[] = [];
    /** The updates that peers have requested, by the index of their first patch; they change with the revision. */
    readonly #updates = new Map<number, ConfigurationUpdate>();
    readonly #listeners: ((document: Document) => void)[] = [];
    #document: Document = emptyDocument;
    #confirmedAt = -Infinity;

    get document(): Document {
        return this.#document;
    }

    get revision(): number {
        return this.#document.revision;
    }

    /** Adds a listener that is called with each new document. */
    onChange(listener: (document: Document) => void): void {
        this.#listeners.push(listener);
    }

    /** The time at which this revision was last known to be the newest in the store; -Infinity if it never was. */
    get confirmedAt(): number {
        return this.#confirmedAt;
    }

    /**
     * Returns the milliseconds since this revision was last known to be the newest in the store; Infinity if it never
     * was.
     */
    ageMs(now: number): number {
        return now - this.#confirmedAt;
    }

    /** Returns true if the revision was known to be the newest recently enough. */
    isFresh(now: number): boolean {
        return this.ageMs(now) < MAX_FRESH_AGE_MS;
    }

    /** Records that `revision` was the newest one in the store at the time `confirmedAt`. */
    confirm(revision: number, confirmedAt: number): void {
        if (revision <= this.revision) {
            this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
        }
    }

    /** Applies a document; returns false if it is not newer. */
    apply(document: Document): boolean {
        if (document.revision <= this.revision) {
            return false;
        }
        this.#replace(document, () => this.#patchTo(document));
        return true;
    }

    /**
     * Returns the patch to a document, or undefined if it would not give a peer the same items: they are patched by name,
     * so a name that is used twice can't be expressed.
     */
    #patchTo(document: Document): readonly Patch[] | undefined {
        return [this.#document, document].every(hasUniqueNames) ? [makePatch(this.#document, document)] : undefined;
    }

    /** Patches are kept from the first document on. Peers get the full document if there is no patch. */
    #replace(document: Document, createPatches: () => readonly Patch[] | undefined): void {
        if (this.revision > 0) {
            const patches = createPatches();
            if (patches === undefined) {
                this.#patches.length = 0;
            }
            else {
                this.#patches.push(...patches);
                this.#patches.splice(0, this.#patches.length - MAX_PATCHES);
            }
        }
        logger.change("A new configuration revision is applied.", {
            revision: document.revision,
            before: this.revision,
        });
        this.#document = document;
        this.#updates.clear();
        this.#listeners.forEach(listener => listener(document));
    }

    /** Applies an update from a peer; returns false if it contained nothing newer. */
    applyUpdate(update: ConfigurationUpdate): boolean {
        if (update.type === "full") {
            return this.apply(update.document);
        }
        let document = this.#document;
        const applied: Patch[] = [];
        for (const patch of update.patches) {
            const patched = applyPatch(document, patch);
            if (patched !== undefined) {
                document = patched;
                applied.push(patch);
            }
        }
        if (applied.length === 0) {
            return false;
        }
        this.#replace(document, () => applied);
        return true;
    }

    /**
     * Returns the update for a peer that has the revision `peerRevision`, or undefined if the peer needs none. Peers with
     * the same revision get the same object, so that it is encoded once.
     */
    updateFor(peerRevision: number): ConfigurationUpdate | undefined {
        if (peerRevision >= this.revision) {
            return undefined;
        }
        const firstIndex = this.#patches.findIndex(patch => patch.from === peerRevision);
        const known = this.#updates.get(firstIndex);
        const update = known ?? this.#createUpdate(firstIndex);
        this.#updates.set(firstIndex, update);
        return update;
    }

    #createUpdate(firstIndex: number): ConfigurationUpdate {
        return firstIndex < 0
            ? { type: "full", document: this.#document }
            : { type: "patches", patches: this.#patches.slice(firstIndex) };
    }
}
