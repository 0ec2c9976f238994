/** The error of a watch that can't go on. */
import { StoreError } from "./storeerror.js";

/** The store no longer has the changes that were asked for: read everything again. */
export class HistoryError extends StoreError {
    constructor() {
        super(false, "the store has forgotten its history");
        this.name = "HistoryError";
    }
}
