/** Defines the error that ends a command. */

/** The message is printed to standard error, and the process exits with `code`. */
export class CliError extends Error {
    constructor(readonly code: number, message: string) {
        super(message);
        this.name = "CliError";
    }
}
