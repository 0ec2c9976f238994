/** The error that is thrown when a caller's body can't be read. */

/** `tooLarge` if the body exceeds its limit, otherwise the body is incomplete. */
export class BodyError extends Error {
    constructor(readonly tooLarge: boolean, options?: ErrorOptions) {
        super(
            tooLarge ? "request body is larger than allowed" : "request body broke off before it was complete",
            options,
        );
        this.name = "BodyError";
    }
}
