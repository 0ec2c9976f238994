/** Builds a document of the platform's services with many rules. */
import type { Document } from "../src/config/document.js";
import { Document as DocumentSchema } from "../src/config/document.js";

/** Names, hosts and paths are as varied as those of the platform's operators. */
const ruleOf = (index: number): object => ({
    name: `rule-${(index * 7919 % 100_003).toString(36)}`,
    host: `site-${index * 31 % 50}.example`,
    pathPrefix: `/${(index * 104_729 % 1_000_003).toString(36)}/${index}/`,
    kind: index % 2 === 0 ? "repeatable" : "once",
    service: index % 3 === 0 ? "pages" : "fees",
    timeLimitMs: 1000 + index % 4 * 500,
    targetMs: 200,
    priority: index % 3,
    maxTries: 2,
});

/** Returns a valid document with `count` rules; documents with fewer rules have the first of them. */
export function documentWithRules(revision: number, count: number): Document {
    return DocumentSchema.parse({
        revision,
        changes: [],
        services: [{ name: "pages" }, { name: "fees" }],
        upstreams: [],
        rules: Array.from({ length: count }, (_, index) => ruleOf(index)),
    });
}
