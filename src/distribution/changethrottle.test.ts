import assert from "node:assert/strict";
import { test } from "node:test";
import { ChangeThrottle } from "./changethrottle.js";

test("change throttle: a change passes at once, the next one after the interval, an unchanged value never", () => {
    const throttle = new ChangeThrottle(100, 0);
    const passed = [[0, 0], [1, 0], [1, 50], [2, 99], [2, 100], [2, 500], [3, 500]]
        .map(([value, now]) => throttle.pass(value!, now!));
    assert.deepEqual(passed, [false, true, false, false, true, false, true]);
});
