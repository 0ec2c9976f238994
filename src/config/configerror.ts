/** The error of this layer. */
import { formatIssues } from "./formatissues.js";
import type { Issue } from "./issue.js";

/** A document, setting or call that is refused; lists every issue found. */
export class ConfigError extends Error {
    constructor(readonly issues: readonly Issue[]) {
        super(formatIssues(issues));
        this.name = "ConfigError";
    }
}
