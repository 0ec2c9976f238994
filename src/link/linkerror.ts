/** The error of a connection between daemons. */

/** `unsent` is true when it is proven that no byte of the request was sent. */
export class LinkError extends Error {
    constructor(readonly reason: string, readonly unsent: boolean, options?: ErrorOptions) {
        super(reason, options);
        this.name = "LinkError";
    }
}
