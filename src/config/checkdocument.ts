/** What must hold between the parts of a document. */
import type { Document } from "./document.js";
import type { Issue } from "./issue.js";

type Named = { readonly name: string; };

const repeatedNames = (list: readonly Named[], path: string): Issue[] => {
    const seen = new Set<string>();
    const issues: Issue[] = [];
    list.forEach((item, at) => {
        if (seen.has(item.name)) {
            issues.push({ code: "duplicate", path: `${path}.${at}.name`, message: `${item.name} stands twice` });
        }
        seen.add(item.name);
    });
    return issues;
};

const missingServices = (document: Document, path: "upstreams" | "rules"): Issue[] => {
    const known = new Set<string>(document.services.map(service => service.name));
    const issues: Issue[] = [];
    document[path].forEach((item, at) => {
        if (!known.has(item.service)) {
            const message = `no service is named ${item.service}`;
            issues.push({ code: "unknown-service", path: `${path}.${at}.service`, message });
        }
    });
    return issues;
};

const missingShares = (document: Document): Issue[] => {
    const known = new Set<string>(document.services.map(service => service.name));
    return document.rules.flatMap((rule, at) =>
        (rule.split ?? []).flatMap(({ service }, part) => {
            const path = `rules.${at}.split.${part}.service`;
            return known.has(service)
                ? []
                : [{ code: "unknown-service", path, message: `no service is named ${service}` }];
        })
    );
};

/** Lists names that are used twice and references to nothing. */
export function checkDocument(document: Document): Issue[] {
    return [
        ...repeatedNames(document.services, "services"),
        ...repeatedNames(document.upstreams, "upstreams"),
        ...repeatedNames(document.rules, "rules"),
        ...missingServices(document, "upstreams"),
        ...missingServices(document, "rules"),
        ...missingShares(document),
    ];
}
