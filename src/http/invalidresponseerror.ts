/** Defines the error of a response that HTTP does not allow, or that can't be decoded. */

/** Nothing of the response is passed on. */
export class InvalidResponseError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "InvalidResponseError";
    }
}
