/** Holds the configuration that is in force at this daemon; it only ever moves forward. */
import { applyPatch } from "../config/applypatch.js";
import type { Document } from "../config/document.js";
import { emptyDocument } from "../config/emptydocument.js";
import { makePatch } from "../config/makepatch.js";
import type { Patch } from "../config/patch.js";
import type { Update } from "../config/update.js";
import { log } from "../log/log.js";

const logger = log("config");

/** Patches kept for peers that are behind. */
const KEPT_PATCHES = 64;

/** After so long without word from the store, nothing proves that the document is the newest. */
const FRESH_MS = 12_000;

/** The document, when it was last known to be the newest, and the last patches. */
export class CurrentConfiguration {
    readonly #patches: Patch[] = [];
    readonly #listeners: ((document: Document) => void)[] = [];
    #document: Document = emptyDocument;
    #confirmedAt = -Infinity;

    get document(): Document {
        return this.#document;
    }

    get revision(): number {
        return this.#document.revision;
    }

    onChange(listener: (document: Document) => void): void {
        this.#listeners.push(listener);
    }

    /** Milliseconds since the store was known to have nothing newer. */
    ageMs(now: number): number {
        return now - this.#confirmedAt;
    }

    fresh(now: number): boolean {
        return this.ageMs(now) < FRESH_MS;
    }

    /** Takes in that at time `at` the store's newest revision was `revision`. */
    confirm(revision: number, at: number): void {
        if (revision <= this.revision) {
            this.#confirmedAt = Math.max(this.#confirmedAt, at);
        }
    }

    /** Takes in a document; false when it is not newer. */
    apply(document: Document): boolean {
        if (document.revision <= this.revision) {
            return false;
        }
        if (this.revision > 0) {
            this.#patches.push(makePatch(this.#document, document));
            this.#patches.splice(0, this.#patches.length - KEPT_PATCHES);
        }
        logger.belief("A revision is in force.", { revision: document.revision, before: this.revision });
        this.#document = document;
        this.#listeners.forEach(listener => listener(document));
        return true;
    }

    /** Takes in what a peer gave; false when nothing in it was newer. */
    applyUpdate(update: Update): boolean {
        if (update.type === "full") {
            return this.apply(update.document);
        }
        const before = this.revision;
        for (const patch of update.patches) {
            this.apply(applyPatch(this.#document, patch) ?? this.#document);
        }
        return this.revision > before;
    }

    /** What a peer lacks that has revision `have`. */
    updateFor(have: number): Update | undefined {
        if (have >= this.revision) {
            return undefined;
        }
        const first = this.#patches.findIndex(patch => patch.from === have);
        return first < 0
            ? { type: "full", document: this.#document }
            : { type: "patches", patches: this.#patches.slice(first) };
    }
}
