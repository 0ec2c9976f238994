/** Checks that the parts of a document are consistent; the schema checks each part for itself. */
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

const findUnknownServices = (document: Document, path: "upstreams" | "rules"): Issue[] => {
    const serviceNames = new Set<string>(document.services.map(service => service.name));
    const issues: Issue[] = [];
    document[path].forEach((item, index) => {
        if (!serviceNames.has(item.service)) {
            const message = `no service is named ${item.service}`;
            issues.push({ code: "unknown-service", path: `${path}.${index}.service`, message });
        }
    });
    return issues;
};

const findUnknownSplitServices = (document: Document): Issue[] => {
    const serviceNames = new Set<string>(document.services.map(service => service.name));
    return document.rules.flatMap((rule, ruleIndex) =>
        (rule.split ?? []).flatMap(({ service }, index) => {
            const path = `rules.${ruleIndex}.split.${index}.service`;
            return serviceNames.has(service)
                ? []
                : [{ code: "unknown-service", path, message: `no service is named ${service}` }];
        })
    );
};

/** Returns an issue for each duplicate name and each reference to a service that does not exist. */
export function checkDocument(document: Document): Issue[] {
    return [
        ...findDuplicateNames(document.services, "services"),
        ...findDuplicateNames(document.upstreams, "upstreams"),
        ...findDuplicateNames(document.rules, "rules"),
        ...findUnknownServices(document, "upstreams"),
        ...findUnknownServices(document, "rules"),
        ...findUnknownSplitServices(document),
        ...checkTeams(document.teams ?? []),
    ];
}
