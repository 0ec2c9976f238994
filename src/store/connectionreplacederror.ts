/** Error of a watch that was ended because its connection had become unresponsive. */
import { StoreError } from "./storeerror.js";

/** The next call uses new connections that have responded, so it may be made at once. */
export class ConnectionReplacedError extends StoreError {
    override readonly name = "ConnectionReplacedError";

    constructor() {
        super(true, "the store did not respond");
    }
}
