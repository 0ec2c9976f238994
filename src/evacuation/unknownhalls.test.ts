import assert from "node:assert/strict";
import { test } from "node:test";
import type { HallName } from "../ids/hallname.js";
import { UnknownHalls } from "./unknownhalls.js";

const A = "a" as HallName;
const NOWHERE = "nowhere" as HallName;
const KNOWN = new Set([A]);

// Guards against an operator's mistyped hall that no daemon tells of, since none watched all of the store when it was written.
test("unknown halls: one that was written before anybody watched is told when somebody does, and once", () => {
    const halls = new UnknownHalls();
    assert.deepEqual(halls.check([A, NOWHERE], KNOWN, false), []);
    assert.deepEqual(halls.check([A, NOWHERE], KNOWN, true), [NOWHERE]);
    assert.deepEqual(halls.check([A, NOWHERE], KNOWN, true), []);
    assert.deepEqual(halls.check([A, NOWHERE], KNOWN, false), []);
    assert.deepEqual(halls.check([A, NOWHERE], KNOWN, true), []);
    assert.deepEqual(halls.check([A], KNOWN, true), []);
    assert.deepEqual(halls.check([NOWHERE], KNOWN, true), [NOWHERE], "written again");
});
