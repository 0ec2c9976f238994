import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { parse } from "../../config/parse.js";
import { Rule } from "../../config/rule.js";
import type { RequestTarget } from "./requesttarget.js";
import { RuleIndex } from "./ruleindex.js";

const segment = fc.constantFrom("a", "b", "ab");
const path = fc.array(segment, { maxLength: 4 }).chain(segments =>
    fc.constantFrom(`/${segments.join("/")}`, `/${segments.join("/")}/`, `/${segments.join("/")}?q=/a`)
);
const host = fc.constantFrom("", "h", "H", "other");
const method = fc.constantFrom("GET", "POST");
const ruleFields = fc.record({
    host,
    pathPrefix: path.map(text => text.split("?", 1)[0]!),
    methods: fc.subarray(["GET", "POST"]),
});

/** Compares each rule with the request; states the order of precedence independently of the index. */
const matchEach = (
    rules: readonly Rule[],
    { method: requestMethod, host: requestHost = "", path: requestPath }: RequestTarget,
): Rule | undefined => {
    const plainPath = requestPath.split("?", 1)[0]!;
    const isUnder = (prefix: string): boolean =>
        plainPath === prefix || plainPath.startsWith(prefix.endsWith("/") ? prefix : `${prefix}/`);
    const matching = rules.filter(rule =>
        (rule.methods.length === 0 || rule.methods.includes(requestMethod))
        && (rule.host === "" || rule.host.toLowerCase() === requestHost.replace(/:\d+$/, "").toLowerCase())
        && isUnder(rule.pathPrefix)
    );
    const rank = (rule: Rule): readonly number[] => [
        Number(rule.host !== ""),
        rule.pathPrefix.length,
        Number(rule.methods.length > 0),
    ];
    return matching.sort((one, other) => {
        const index = rank(one).findIndex((value, place) => value !== rank(other)[place]);
        return index < 0 ? (one.name < other.name ? -1 : 1) : rank(other)[index]! - rank(one)[index]!;
    })[0];
};

// Guards against an index that prefers another rule than a comparison with each rule does.
test("rule index: finds the same rule as a comparison with each rule", () => {
    fc.assert(fc.property(
        fc.array(ruleFields, { maxLength: 12 }),
        fc.record({ method, host: fc.constantFrom("h", "h:80", "x", undefined), path }),
        (fields, target) => {
            const rules = fields.map((item, index) => parse(Rule, { ...item, name: `r${index}`, service: "s" }));
            assert.equal(new RuleIndex(rules).match(target)?.name, matchEach(rules, target)?.name);
        },
    ));
});
