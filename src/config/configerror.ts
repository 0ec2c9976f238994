/** Defines the error for invalid configuration, settings and requests. */
import { formatIssues } from "./formatissues.js";
import type { Issue } from "./issue.js";

/** Carries every issue that was found; the message has one line for each. */
export class ConfigError extends Error {
    constructor(readonly issues: readonly Issue[]) {
        super(formatIssues(issues));
        this.name = "ConfigError";
    }
}
