/** Issues as people read them. */
import type { Issue } from "./issue.js";

/** One line an issue: the field, then what is wrong with it. */
export function formatIssues(issues: readonly Issue[]): string {
    return issues.map(issue => `${issue.path || "(top)"}: ${issue.message}`).join("\n");
}
