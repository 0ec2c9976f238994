/** Checks that team names and keys are unique. */
import type { KeyDigest } from "../ids/keydigest.js";
import type { Issue } from "./issue.js";
import type { Team } from "./team.js";

/**
 * Returns an issue for each team name that is used again and each key that several teams have; no issue contains a key.
 * A key that a team lists twice does no harm.
 */
export function checkTeams(teams: readonly Team[]): Issue[] {
    const issues: Issue[] = [];
    const names = new Set<string>();
    const owners = new Map<KeyDigest, string>();
    teams.forEach(({ name, keyDigests }, teamIndex) => {
        if (names.has(name)) {
            issues.push({
                code: "duplicate",
                path: `teams.${teamIndex}.name`,
                message: `${name} is used more than once`,
            });
        }
        names.add(name);
        keyDigests.forEach((digest, index) => {
            const owner = owners.get(digest);
            if (owner !== undefined && owner !== name) {
                issues.push({
                    code: "shared-key",
                    path: `teams.${teamIndex}.keyDigests.${index}`,
                    message: `the teams ${owner} and ${name} have the same key`,
                });
            }
            owners.set(digest, name);
        });
    });
    return issues;
}
