import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigError } from "./configerror.js";
import { parseJson } from "./parsejson.js";

test("json: a syntax error is reported without any of the text, also where the error of Node.js quotes it", () => {
    for (
        const text of [
            "secret-1",
            "{\"a\": \"secret-1\" x",
            "[\"secret-1\"",
            "{\"k\":'secret-1'}",
            "secret-1".repeat(99),
        ]
    ) {
        assert.throws(() => parseJson(text), err => {
            assert.ok(err instanceof ConfigError);
            assert.doesNotMatch(err.message, /secret|s\.\.\.|"s"/);
            assert.match(err.message, /text is not JSON/);
            return true;
        });
    }
    assert.deepEqual(parseJson("{}"), {});
});
