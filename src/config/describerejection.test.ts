import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigError } from "./configerror.js";
import { describeRejection } from "./describerejection.js";
import { Document } from "./document.js";
import { emptyDocument } from "./emptydocument.js";
import { parse } from "./parse.js";

const KEY = "the-secret-key-of-a-team";

const rejectionOf = (decode: () => unknown): string[] => {
    try {
        decode();
    }
    catch (err) {
        return describeRejection(err);
    }
    assert.fail("the document must be rejected");
};

test("rejection: each invalid field is named, and a key in any place of the document is not shown", () => {
    const documents = [
        { ...emptyDocument, teams: [{ name: "a", keyDigests: [KEY] }] },
        { ...emptyDocument, teams: [{ name: "a", keys: [KEY] }] },
        { ...emptyDocument, teams: { a: { keyDigests: [KEY] } } },
        { ...emptyDocument, callers: KEY },
        { ...emptyDocument, rules: KEY },
    ];
    for (const document of documents) {
        const fields = rejectionOf(() => parse(Document, document));
        assert.ok(fields.length > 0);
        assert.doesNotMatch(fields.join(), new RegExp(KEY));
    }
    assert.match(rejectionOf(() => parse(Document, { ...emptyDocument, rules: 5 }))[0]!, /^rules: .*array/);
});

test("rejection: the text of a document that is not JSON is not shown", () => {
    assert.deepEqual(rejectionOf(() => JSON.parse(`{"keys":[${KEY}]}`)), ["(top): the text is not JSON"]);
});

test("rejection: the description is bounded", () => {
    const issues = Array.from({ length: 1400 }, (_, index) => ({ code: "c", path: `rules.${index}`, message: "m" }));
    const fields = describeRejection(new ConfigError(issues));
    assert.equal(fields.length, 9);
    assert.equal(fields.at(-1), "and 1392 more");
});
