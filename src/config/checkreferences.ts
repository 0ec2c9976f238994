/** Checks that the services to which the parts of a document refer exist. */
import type { Document } from "./document.js";
import type { Issue } from "./issue.js";

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

/** Returns an issue for each upstream, rule and share of a split whose service is not in the document. */
export function checkReferences(document: Document): Issue[] {
    return [
        ...findUnknownServices(document, "upstreams"),
        ...findUnknownServices(document, "rules"),
        ...findUnknownSplitServices(document),
    ];
}
