/** Defines the error of a watch that can't continue. */
import { StoreError } from "./storeerror.js";

/** Thrown when the store no longer has the requested changes. The caller must read the full state again. */
export class HistoryUnavailableError extends StoreError {
    constructor() {
        super(false, "the store no longer has the requested changes");
        this.name = "HistoryUnavailableError";
    }
}
