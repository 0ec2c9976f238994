/** What rules match of a request. */

/** `path` may have a query; `host` may have a port. */
export type RequestTarget = {
    readonly method: string;
    readonly host: string | undefined;
    readonly path: string;
};
