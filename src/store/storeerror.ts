/** Defines the error of a failed call to the store. */

/** `mayHaveBeenSent` is false only if it is certain that the store has not executed the call. */
export class StoreError extends Error {
    constructor(readonly mayHaveBeenSent: boolean, message: string, options?: ErrorOptions) {
        super(message, options);
        this.name = "StoreError";
    }
}
