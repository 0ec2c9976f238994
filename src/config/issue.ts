/** Defines a problem with a document, a setting or a request. */

/** `code` is stable for programs, `path` names the field, and `message` explains the problem to people. */
export type Issue = {
    readonly code: string;
    readonly path: string;
    readonly message: string;
};
