/** Formats issues for people. */
import type { Issue } from "./issue.js";

/** Returns one line for each issue: the path of the field, then the message. */
export function formatIssues(issues: readonly Issue[]): string {
    return issues.map(issue => `${issue.path || "(top)"}: ${issue.message}`).join("\n");
}
