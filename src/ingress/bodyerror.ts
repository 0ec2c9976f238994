/** The error of reading a caller's body. */

/** `tooLarge` when it passes the bound, otherwise the caller broke off. */
export class BodyError extends Error {
    constructor(readonly tooLarge: boolean, options?: ErrorOptions) {
        super(tooLarge ? "body too large" : "body broke off", options);
        this.name = "BodyError";
    }
}
