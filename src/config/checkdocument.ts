/** Checks that the parts of a document are consistent; the schema checks each part for itself. */
import { checkReferences } from "./checkreferences.js";
import { checkTeams } from "./checkteams.js";
import type { Document } from "./document.js";
import type { Issue } from "./issue.js";

type Named = { readonly name: string; };

const findDuplicateNames = (list: readonly Named[], path: string): Issue[] => {
    const seen = new Set<string>();
    const issues: Issue[] = [];
    list.forEach((item, index) => {
        if (seen.has(item.name)) {
            issues.push({
                code: "duplicate",
                path: `${path}.${index}.name`,
                message: `${item.name} is used more than once`,
            });
        }
        seen.add(item.name);
    });
    return issues;
};

/** Returns an issue for each duplicate name and each reference to a service that does not exist. */
export function checkDocument(document: Document): Issue[] {
    return [
        ...findDuplicateNames(document.services, "services"),
        ...findDuplicateNames(document.upstreams, "upstreams"),
        ...findDuplicateNames(document.rules, "rules"),
        ...checkReferences(document),
        ...checkTeams(document.teams ?? []),
    ];
}
