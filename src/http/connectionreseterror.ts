/** Defines the error of a connection that its peer has reset. */

/** The response that was being received is incomplete. */
export class ConnectionResetError extends Error {
    constructor(options?: ErrorOptions) {
        super("the peer reset the connection before the end of the response", options);
        this.name = "ConnectionResetError";
    }
}
