/**
 * The configuration that this daemon applies; its revision only ever rises.
 *
 * Owns the document, the time at which it was last known to be the newest, and the last patches for peers that are behind.
 */
import { applyPatch } from "../config/applypatch.js";
import type { Document } from "../config/document.js";
import { emptyDocument } from "../config/emptydocument.js";
import { makePatch } from "../config/makepatch.js";
import type { Patch } from "../config/patch.js";
import type { Update } from "../config/update.js";
import { log } from "../log/log.js";

const logger = log("config");

/** Patches kept for peers that are behind: two hours of changes at 720 a day. */
const KEPT_PATCHES = 64;

/** Milliseconds: six rounds of heartbeats. After that, nothing proves that the document is the newest. */
const FRESH_MS = 12_000;

/** Listeners are called after each change, in the order in which they came. */
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

    /** Records that at time `at` the store's newest revision was `revision`. */
    confirm(revision: number, at: number): void {
        if (revision <= this.revision) {
            this.#confirmedAt = Math.max(this.#confirmedAt, at);
        }
    }

    /** Applies a document; false when it is not newer. */
    apply(document: Document): boolean {
        if (document.revision <= this.revision) {
            return false;
        }
        if (this.revision > 0) {
            this.#patches.push(makePatch(this.#document, document));
            this.#patches.splice(0, this.#patches.length - KEPT_PATCHES);
        }
        logger.change("A revision is applied.", { revision: document.revision, before: this.revision });
        this.#document = document;
        this.#listeners.forEach(listener => listener(document));
        return true;
    }

    /** Applies what a peer gave; false when nothing in it was newer. */
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
