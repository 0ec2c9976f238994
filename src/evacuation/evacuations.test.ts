import assert from "node:assert/strict";
import { test } from "node:test";
import type { HallName } from "../ids/hallname.js";
import type { HallsChange } from "../policy/halls/hallschange.js";
import { Evacuations } from "./evacuations.js";

const HALL = "a" as HallName;
const KEEP_AFTER_RESTORE_MS = 10_000;

const createChange = (era: number, revision: number, evacuated: readonly HallName[] = []): HallsChange => ({
    position: { era, revision },
    complete: true,
    evacuated,
    ended: [],
    unreadable: [],
});

test("evacuations: listeners are called only when the evacuated halls change", () => {
    const evacuations = new Evacuations();
    const notified: string[] = [];
    evacuations.onChange(() => notified.push(evacuations.halls.join()));
    evacuations.recordStoreChange(createChange(0, 1));
    evacuations.recordStoreChange(createChange(0, 2, [HALL]));
    evacuations.recordStoreChange(createChange(0, 3, [HALL]));
    evacuations.recordStoreChange(createChange(0, 4));
    assert.deepEqual(notified, ["a", ""]);
});

test("evacuations: nothing is sent to peers until an evacuation is known; then its end is sent too", () => {
    const evacuations = new Evacuations();
    evacuations.recordStoreChange(createChange(0, 7));
    assert.equal(evacuations.stateForPeers, undefined);
    const stale = { mark: { era: 0, revision: 5 }, halls: [HALL] };
    evacuations.recordPropagated(stale);
    assert.deepEqual(evacuations.stateForPeers, { mark: { era: 0, revision: 7 }, halls: [] });
    assert.equal(evacuations.isPeerBehind(stale), true, "the peer has to be notified");
    assert.equal(evacuations.isPeerBehind(evacuations.stateForPeers), false);
});

test("evacuations: a hall stays evacuated for a while after a restore of the store that lost its evacuation", t => {
    t.mock.timers.enable({ apis: ["setTimeout"] });
    const evacuations = new Evacuations();
    evacuations.recordStoreChange(createChange(0, 9, [HALL]));
    evacuations.recordStoreChange(createChange(1, 4));
    assert.equal(evacuations.isEvacuated(HALL), true, "operators have not yet written the evacuation again");
    t.mock.timers.tick(KEEP_AFTER_RESTORE_MS - 1);
    assert.equal(evacuations.isEvacuated(HALL), true);
    t.mock.timers.tick(1);
    assert.equal(evacuations.isEvacuated(HALL), false, "operators have not written the evacuation again in time");
});

test("evacuations: two restores within seconds lose no evacuation, and one that is written again stays", t => {
    t.mock.timers.enable({ apis: ["setTimeout"] });
    const evacuations = new Evacuations();
    evacuations.recordStoreChange(createChange(0, 9, [HALL]));
    evacuations.recordStoreChange(createChange(1, 4));
    t.mock.timers.tick(KEEP_AFTER_RESTORE_MS / 2);
    evacuations.recordStoreChange(createChange(2, 3));
    t.mock.timers.tick(KEEP_AFTER_RESTORE_MS - 1);
    assert.equal(evacuations.isEvacuated(HALL), true);
    evacuations.recordStoreChange(createChange(2, 5, [HALL]));
    t.mock.timers.tick(KEEP_AFTER_RESTORE_MS);
    assert.equal(evacuations.isEvacuated(HALL), true);
    evacuations.recordStoreChange(createChange(2, 6));
    assert.equal(evacuations.isEvacuated(HALL), false, "within one era the end of an evacuation applies at once");
});

test("evacuations: more names than fit in a datagram are not sent to peers, but apply", () => {
    const evacuations = new Evacuations();
    const many = Array.from({ length: 100 }, (_, index) => `hall-${index}` as HallName);
    evacuations.recordStoreChange(createChange(0, 3, many));
    const sentHalls = (): readonly HallName[] | undefined => evacuations.stateForPeers?.halls;
    assert.equal(sentHalls(), undefined);
    assert.equal(evacuations.isEvacuated(many[99]!), true);
    evacuations.recordStoreChange(createChange(0, 4, [HALL]));
    assert.deepEqual(sentHalls(), [HALL]);
});
