/** Remembers whether the document in the store is rejected, since when, and because of which fields. */
import { describeRejection } from "../config/describerejection.js";
import type { Rejection } from "../config/rejection.js";
import { log } from "../log/log.js";
import type { CurrentConfiguration } from "./currentconfiguration.js";

const logger = log("config");

/** Only daemons that read the store learn of a rejection. A newer document from a peer ends it too. */
export class DocumentRejection {
    #fields: readonly string[] | undefined;
    #since = 0;

    constructor(private readonly configuration: CurrentConfiguration) {
        configuration.onChange(() => this.end());
    }

    get isRejected(): boolean {
        return this.#fields !== undefined;
    }

    /** Records the error of a document that was read. Logs it unless the same fields are known to be invalid. */
    record(err: unknown, now: number): void {
        const fields = describeRejection(err);
        if (this.#fields === undefined) {
            this.#since = now;
        }
        if (this.#fields?.join() !== fields.join()) {
            logger.warn("The stored configuration is invalid; the previous one stays in force.", fields.join("; "), {
                revision: this.configuration.revision,
                rejectedForMs: Math.round(now - this.#since),
            });
        }
        this.#fields = fields;
    }

    /** Records that the stored document is valid, or that a newer one is applied. */
    end(): void {
        if (this.#fields !== undefined) {
            logger.change("The stored configuration is no longer rejected.", { revision: this.configuration.revision });
            this.#fields = undefined;
        }
    }

    /** Returns the present rejection, or undefined if there is none. */
    current(now: number): Rejection | undefined {
        return this.#fields && { fields: this.#fields, ageMs: Math.round(now - this.#since) };
    }
}
