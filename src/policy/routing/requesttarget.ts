/** The parts of a request that rules match. `path` may include a query, and `host` a port. */
export type RequestTarget = {
    readonly method: string;
    readonly host: string | undefined;
    readonly path: string;
};
