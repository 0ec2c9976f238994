import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigError } from "./configerror.js";
import { ConfigurationUpdate } from "./configurationupdate.js";
import { decodeUpdate } from "./decodeupdate.js";
import { Document } from "./document.js";
import { DocumentDecoder } from "./documentdecoder.js";
import { makePatch } from "./makepatch.js";
import { parse } from "./parse.js";

const noPause = (): undefined => undefined;
const name = fc.constantFrom("a", "b", "c", "no good name");
const rule = fc.record({
    name,
    service: fc.constantFrom("a", "b"),
    pathPrefix: fc.constantFrom("/", "/x/", "x"),
    kind: fc.constantFrom(undefined, "repeatable", "no-kind"),
    maxTries: fc.constantFrom(undefined, 2, -1),
}, { requiredKeys: ["name", "service"] });
const service = fc.record({ name, retryRatio: fc.constantFrom(0.1, 7) }, { requiredKeys: ["name"] });
const team = fc.record({ name, burst: fc.constantFrom(1, -1), keyDigests: fc.constant(["0".repeat(32)]) });
const list = <Item>(item: fc.Arbitrary<Item>): fc.Arbitrary<unknown> =>
    fc.oneof({ weight: 20, arbitrary: fc.array(item, { maxLength: 4 }) }, { weight: 1, arbitrary: fc.constant(5) });
const raw = fc.record({
    revision: fc.constantFrom(1, 2, -1),
    changes: fc.constant([]),
    services: list(service),
    upstreams: fc.constant([]),
    rules: list(rule),
    teams: list(team),
    other: fc.constant(1),
}, { requiredKeys: ["revision", "changes", "services", "upstreams", "rules"] });

type Outcome = { readonly json: string; } | { readonly paths: readonly string[]; };

const outcomeOf = async (decode: () => unknown): Promise<Outcome> => {
    try {
        return { json: JSON.stringify(await decode()) };
    }
    catch (err) {
        assert.ok(err instanceof ConfigError);
        return { paths: err.issues.map(({ path }) => path).sort() };
    }
};

/** An invalid list hides the issues of the document around it, so only the validity is compared then. */
const assertSameOutcome = (actual: Outcome, expected: Outcome): void => {
    if ("json" in actual || "json" in expected) {
        assert.deepEqual(actual, expected);
        return;
    }
    assert.ok(actual.paths.every(path => expected.paths.includes(path)), `${actual.paths} of ${expected.paths}`);
};

test("decoder: successive documents are decoded as by validating each as a whole", async () => {
    await fc.assert(fc.asyncProperty(fc.array(raw, { maxLength: 4 }), async documents => {
        const decoder = new DocumentDecoder();
        for (const document of documents) {
            assertSameOutcome(
                await outcomeOf(() => decoder.decode(document, noPause)),
                await outcomeOf(() => parse(Document, document)),
            );
        }
    }));
});

test("decoder: updates of peers are decoded as by validating each as a whole", async () => {
    const patch = raw.map(fields => ({ ...fields, from: 1, to: 2, revision: undefined, ...deletions }));
    const deletions = { deletedServices: [], deletedUpstreams: [], deletedRules: [] };
    const update = fc.oneof(
        fc.record({ type: fc.constant("patches"), patches: fc.array(patch, { maxLength: 3 }) }),
        fc.record({ type: fc.constantFrom("full", "other"), document: raw }),
        fc.constantFrom(undefined, 5, {}, { type: "patches", patches: 5 }, { type: "patches", patches: [5] }),
    );
    await fc.assert(fc.asyncProperty(update, async input => {
        const json = input === undefined ? undefined : JSON.parse(JSON.stringify(input)) as unknown;
        const actual = await outcomeOf(() => decodeUpdate(json, noPause));
        const expected = await outcomeOf(() => parse(ConfigurationUpdate, json));
        assert.equal("json" in actual, "json" in expected);
        if ("json" in actual) {
            assert.deepEqual(actual, expected);
        }
    }));
});

test("decoder: a document that has grown shares the items that have not changed, and peers get the others only", async () => {
    const ruleOf = (index: number, service = "a"): object => ({ name: `r${index}`, service, pathPrefix: `/${index}/` });
    const documentOf = (revision: number, rules: object[]): object => ({
        revision,
        changes: [],
        services: [{ name: "a" }, { name: "b" }],
        upstreams: [],
        rules,
    });
    const decoder = new DocumentDecoder();
    const rules = Array.from({ length: 1400 }, (_, index) => ruleOf(index));
    const before = await decoder.decode(documentOf(1, rules), noPause);
    const after = await decoder.decode(documentOf(2, [...rules.with(7, ruleOf(7, "b")), ruleOf(1400)]), noPause);
    assert.equal(after.rules[8], before.rules[8]);
    assert.notEqual(after.rules[7], before.rules[7]);
    const patch = makePatch(before, after);
    assert.deepEqual(patch.rules.map(({ name }) => name), ["r7", "r1400"]);
    assert.ok(JSON.stringify(patch).length < 1000);
});
