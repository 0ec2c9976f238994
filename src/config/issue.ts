/** One thing wrong with a document, a setting or a call. */

/** Data first: a stable code, the path of the field, and a sentence for people. */
export type Issue = {
    readonly code: string;
    readonly path: string;
    readonly message: string;
};
