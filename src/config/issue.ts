/** Defines a problem with a document, a setting or a request. */

/**
 * `code` is stable for programs, `path` names the field, and `message` explains the problem to people. `requirement` is
 * the message without the invalid value, which may be a secret; absent if the message has no such value.
 */
export type Issue = {
    readonly code: string;
    readonly path: string;
    readonly message: string;
    readonly requirement?: string;
};
