import assert from "node:assert/strict";
import { test } from "node:test";
import { applyPatch } from "./applypatch.js";
import { checkTeams } from "./checkteams.js";
import { digestKey } from "./digestkey.js";
import type { Document } from "./document.js";
import { emptyDocument } from "./emptydocument.js";
import { makePatch } from "./makepatch.js";
import { parse } from "./parse.js";
import { Team } from "./team.js";

const team = (name: string, keys: readonly string[], fields: object = {}): Team =>
    parse(Team, { name, keyDigests: keys.map(digestKey), ...fields });

// Guards against a document in which one key grants the access of two teams.
test("teams: a shared key and a repeated name are reported with the field and the teams, without the key", () => {
    const issues = checkTeams([team("red", ["key-1"]), team("blue", ["key-2", "key-1"]), team("red", [])]);
    assert.deepEqual(issues.map(({ path }) => path), ["teams.1.keyDigests.1", "teams.2.name"]);
    assert.match(issues[0]!.message, /red and blue/);
    assert.ok(!JSON.stringify(issues).includes("key-1") && !JSON.stringify(issues).includes(digestKey("key-1")));
});

test("teams: a key that one team lists twice is accepted", () => {
    assert.deepEqual(checkTeams([team("red", ["key-1", "key-1"]), team("blue", ["key-2"])]), []);
});

test("teams: a rate below 0 is rejected with its field", () => {
    assert.throws(() => team("red", [], { ratePerSecond: -1 }), /ratePerSecond/);
});

test("teams: a patch adds, changes and removes teams", () => {
    const before: Document = { ...emptyDocument, revision: 1, teams: [team("red", ["a"]), team("blue", ["b"])] };
    const after: Document = { ...before, revision: 2, teams: [team("red", ["a", "c"]), team("green", ["d"])] };
    assert.deepEqual(applyPatch(before, makePatch(before, after))!.teams, after.teams);
    const without: Document = { ...emptyDocument, revision: 3 };
    assert.equal(applyPatch(after, makePatch(after, without))!.teams, undefined);
});
