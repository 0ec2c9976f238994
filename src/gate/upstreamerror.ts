/** The error of the layer that talks to an upstream. */

/** `sent` is false when it is proven that the upstream has not run the request. */
export class UpstreamError extends Error {
    constructor(readonly sent: boolean, readonly reason: string, options?: ErrorOptions) {
        super(reason, options);
        this.name = "UpstreamError";
    }
}
