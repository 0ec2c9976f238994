import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { documentWithRules } from "../../test/documentwithrules.js";
import type { Document } from "../config/document.js";
import { CurrentConfiguration } from "./currentconfiguration.js";

const RUNS = 500;
const rules = documentWithRules(0, 12).rules;

/** Lists in which rules have moved, changed and gone, and in which a name may be used twice. */
const ruleLists = fc.array(
    fc.tuple(fc.nat({ max: 5 }), fc.nat({ max: rules.length - 1 })).map(([name, index]) => (
        { ...rules[index]!, name: rules[name]!.name }
    )),
    { maxLength: 8 },
);

/** The order of the rules of a document has no effect. */
const sortedRules = (document: Document): string[] => document.rules.map(rule => JSON.stringify(rule)).sort();

// Guards against a route that is served at the daemons that read the store and refused with 404 at those that pull from
// them: a patch kept only one of two rules of the same name.
test("configuration: a daemon that pulls updates has the same rules as the one that it pulls from", () => {
    fc.assert(
        fc.property(fc.array(ruleLists, { minLength: 2, maxLength: 4 }), lists => {
            const [ahead, behind] = [new CurrentConfiguration(), new CurrentConfiguration()];
            const documents = lists.map((list, index): Document => (
                { ...documentWithRules(index + 1, 0), rules: list }
            ));
            documents.forEach((document, index) => {
                ahead.apply(document);
                if (index % 2 === 0) {
                    behind.applyUpdate(ahead.updateFor(behind.revision)!);
                }
            });
            const last = ahead.updateFor(behind.revision);
            if (last !== undefined) {
                behind.applyUpdate(last);
            }
            assert.equal(behind.revision, ahead.revision);
            assert.deepEqual(sortedRules(behind.document), sortedRules(ahead.document));
        }),
        { numRuns: RUNS, seed: 1 },
    );
});
