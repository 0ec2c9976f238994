import assert from "node:assert/strict";
import { test } from "node:test";
import { digestKey } from "../config/digestkey.js";
import { presentedKeyOf } from "./presentedkeyof.js";

test("presented key: the digest is that of the key in the document, also if the key is not ASCII", () => {
    for (const key of ["k-1", "a, b", "klíč-ключ", "x".repeat(256)]) {
        const received = Buffer.from(key, "utf8").toString("latin1");
        if (received.length <= 256) {
            assert.deepEqual(presentedKeyOf([received]), { type: "digest", digest: digestKey(key) });
        }
    }
});

test("presented key: no field is none; several fields, an empty and a too long one are malformed", () => {
    assert.deepEqual(presentedKeyOf([]), { type: "none" });
    for (const values of [["a", "b"], ["a", "a"], ["", "a"], [""], ["x".repeat(257)]]) {
        assert.deepEqual(presentedKeyOf(values), { type: "malformed" });
    }
});
