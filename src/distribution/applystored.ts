/** Applies the value of the document in the store, or records that it is rejected. */
import type { CurrentConfiguration } from "./currentconfiguration.js";
import { decodeDocument } from "./decodedocument.js";
import type { DocumentRejection } from "./documentrejection.js";

/** Does not throw: an invalid document leaves the previous one in force. */
export function applyStored(
    value: string,
    configuration: CurrentConfiguration,
    rejection: DocumentRejection,
    now: number,
): void {
    try {
        configuration.apply(decodeDocument(value));
        rejection.end();
    }
    catch (err) {
        rejection.record(err, now);
    }
}
