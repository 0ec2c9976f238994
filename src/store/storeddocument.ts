/** Defines a version of the configuration in the store that is not decoded yet. */
import type { Document } from "../config/document.js";
import type { StepPause } from "../time/steppause.js";

/** `version` as in VersionedValue. */
export type StoredDocument = {
    readonly version: number;
    /** Decodes in steps; rejects if the document is invalid. Documents are decoded one after the other. */
    readonly decode: (pause: StepPause) => Promise<Document>;
};
