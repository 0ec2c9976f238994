/** Describes for people why a stored document was rejected, without any value from the document. */
import { ConfigError } from "./configerror.js";
import { formatIssues } from "./formatissues.js";

/** Limits the size of the description, which is part of log lines and of the status. */
const MAX_FIELDS = 8;

/**
 * Returns a line for each of the first invalid fields, with its path and what is allowed. Leaves out the values: an
 * invalid document may have the key of a team in any field, and the message of a SyntaxError quotes the text.
 */
export function describeRejection(err: unknown): string[] {
    if (!(err instanceof ConfigError)) {
        return [`(top): ${err instanceof SyntaxError ? "the text is not JSON" : "the document could not be decoded"}`];
    }
    const fields = err.issues.slice(0, MAX_FIELDS).map(({ code, path, message, requirement }) =>
        formatIssues([{ code, path, message: requirement ?? message }])
    );
    const more = err.issues.length - fields.length;
    return more > 0 ? [...fields, `and ${more} more`] : fields;
}
