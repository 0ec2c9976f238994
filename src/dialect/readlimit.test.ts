import assert from "node:assert/strict";
import { test } from "node:test";
import { readLimit } from "./readlimit.js";

test("limit: a decimal number is read as requests per second", () => {
    for (const [text, perSecond] of [["7.8", 7.8], [" 12 ", 12], ["0", 0], ["0.40", 0.4]] as const) {
        assert.deepEqual(readLimit(text), { type: "perSecond", perSecond });
    }
    assert.deepEqual(readLimit(undefined), { type: "none" });
});

test("limit: any other value is unreadable, and is returned for the log", () => {
    const texts = ["", "abc", "-1", "1e999", "1e3", "Infinity", "NaN", ".5", "7.8, 9", "0x10", "9".repeat(400)];
    for (const text of texts) {
        assert.deepEqual(readLimit(text), { type: "unreadable", text });
    }
    assert.deepEqual(readLimit(["7.8", "9"]), { type: "unreadable", text: "7.8, 9" });
});
