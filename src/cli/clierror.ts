/** The error of the command line. */

/** Printed as one line; the process ends with `code`. */
export class CliError extends Error {
    constructor(readonly code: number, message: string) {
        super(message);
        this.name = "CliError";
    }
}
