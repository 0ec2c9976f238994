import assert from "node:assert/strict";
import { test } from "node:test";
import type { HallName } from "../ids/hallname.js";
import { UnknownHalls } from "./unknownhalls.js";

const HALL_WITH_UPSTREAMS = "a" as HallName;
const MISTYPED_HALL = "nowhere" as HallName;
const HALLS_WITH_UPSTREAMS = new Set([HALL_WITH_UPSTREAMS]);

// Guards against a mistyped hall that no daemon reports, because none watched the store when it was written.
test("unknown halls: a hall written before the daemon watches is reported once, when it starts to watch", () => {
    const halls = new UnknownHalls();
    assert.deepEqual(halls.check([HALL_WITH_UPSTREAMS, MISTYPED_HALL], HALLS_WITH_UPSTREAMS, false), []);
    assert.deepEqual(halls.check([HALL_WITH_UPSTREAMS, MISTYPED_HALL], HALLS_WITH_UPSTREAMS, true), [MISTYPED_HALL]);
    assert.deepEqual(halls.check([HALL_WITH_UPSTREAMS, MISTYPED_HALL], HALLS_WITH_UPSTREAMS, true), []);
    assert.deepEqual(halls.check([HALL_WITH_UPSTREAMS, MISTYPED_HALL], HALLS_WITH_UPSTREAMS, false), []);
    assert.deepEqual(halls.check([HALL_WITH_UPSTREAMS, MISTYPED_HALL], HALLS_WITH_UPSTREAMS, true), []);
    assert.deepEqual(halls.check([HALL_WITH_UPSTREAMS], HALLS_WITH_UPSTREAMS, true), []);
    assert.deepEqual(
        halls.check([MISTYPED_HALL], HALLS_WITH_UPSTREAMS, true),
        [MISTYPED_HALL],
        "the evacuation was written again",
    );
});
