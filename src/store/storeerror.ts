/** The error of this layer. */

/** `sent` is false when it is proven that the store has not received the call. */
export class StoreError extends Error {
    constructor(readonly sent: boolean, message: string, options?: ErrorOptions) {
        super(message, options);
        this.name = "StoreError";
    }
}
