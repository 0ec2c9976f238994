import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { HallName } from "../../ids/hallname.js";
import { applyHallsChange } from "./applyhallschange.js";
import type { EvacuatedHalls } from "./evacuatedhalls.js";
import type { HallsChange } from "./hallschange.js";
import { isLaterPosition } from "./islaterposition.js";

const EMPTY: EvacuatedHalls = { mark: { era: 0, revision: 0 }, halls: [] };
const hall = (name: string): HallName => name as HallName;

const createChange = (revision: number, overrides: Partial<HallsChange> = {}): HallsChange => ({
    position: { era: 0, revision },
    complete: true,
    evacuated: [],
    ended: [],
    unreadable: [],
    ...overrides,
});

test("halls: a stale change has no effect, even if it is complete", () => {
    const known = applyHallsChange(EMPTY, createChange(5, { evacuated: [hall("a")] }))!;
    assert.deepEqual(known.halls, ["a"]);
    assert.equal(applyHallsChange(known, createChange(4)), undefined);
    assert.equal(applyHallsChange(known, createChange(5, { ended: [hall("a")], complete: false })), undefined);
    assert.deepEqual(applyHallsChange(known, createChange(6))!.halls, []);
});

test("halls: a change of a later era supersedes one of a higher revision", () => {
    const known = applyHallsChange(EMPTY, createChange(50, { evacuated: [hall("a")] }))!;
    const later = { ...createChange(3, { evacuated: [hall("b")] }), position: { era: 1, revision: 3 } };
    assert.deepEqual(applyHallsChange(known, later)!.halls, ["b"]);
    assert.equal(isLaterPosition(known.mark, later.position), false);
});

test("halls: an unreadable entry leaves the state of its hall unchanged", () => {
    const known = applyHallsChange(EMPTY, createChange(5, { evacuated: [hall("a")] }))!;
    const unreadable = [hall("a"), hall("b")];
    assert.deepEqual(applyHallsChange(known, createChange(6, { unreadable }))!.halls, ["a"]);
    assert.deepEqual(applyHallsChange(known, createChange(6, { unreadable, complete: false }))!.halls, ["a"]);
});

type StoreChange = { readonly hall: HallName; readonly evacuated: boolean; };

/** Returns the evacuated halls after each change of the store, by revision. */
const hallsByRevision = (changes: readonly StoreChange[]): readonly (readonly HallName[])[] => {
    const states: HallName[][] = [[]];
    for (const change of changes) {
        const others = states.at(-1)!.filter(other => other !== change.hall);
        states.push(change.evacuated ? [...others, change.hall].sort() : others);
    }
    return states;
};

/** Returns what a watch reports: the latest state of each hall that changed after `from` and up to `to`. */
const changesBetween = (changes: readonly StoreChange[], from: number, to: number): HallsChange => {
    const latest = new Map(changes.slice(from, to).map(change => [change.hall, change.evacuated]));
    const hallsWhere = (evacuated: boolean): HallName[] =>
        [...latest].filter(([, value]) => value === evacuated).map(([name]) => name);
    return createChange(to + 1, { complete: false, evacuated: hallsWhere(true), ended: hallsWhere(false) });
};

const storeChanges = fc.array(
    fc.record({ hall: fc.constantFrom(hall("a"), hall("b"), hall("c")), evacuated: fc.boolean() }),
    { minLength: 1, maxLength: 8 },
);

test("halls: the known state matches the store's at its position, whatever changes arrive in whatever order", () => {
    fc.assert(fc.property(storeChanges, fc.array(fc.nat(), { maxLength: 12 }), (history, draws) => {
        const states = hallsByRevision(history);
        let known = EMPTY;
        let watchedTo = 0;
        for (const draw of draws) {
            const to = draw % states.length;
            const isWatch = draw % 2 === 0 && to >= watchedTo && known.mark.revision > 0;
            const received = isWatch
                ? changesBetween(history, watchedTo, to)
                : createChange(to + 1, { evacuated: states[to]! });
            watchedTo = Math.max(watchedTo, to);
            known = applyHallsChange(known, received) ?? known;
            assert.deepEqual(known.halls, states[known.mark.revision - 1]);
        }
    }));
});
