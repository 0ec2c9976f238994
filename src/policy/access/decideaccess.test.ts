import assert from "node:assert/strict";
import { test } from "node:test";
import { digestKey } from "../../config/digestkey.js";
import type { Document } from "../../config/document.js";
import { emptyDocument } from "../../config/emptydocument.js";
import { parse } from "../../config/parse.js";
import { Rule } from "../../config/rule.js";
import { Team } from "../../config/team.js";
import { RegionName } from "../../ids/regionname.js";
import { allowedRegions } from "./allowedregions.js";
import { decideAccess } from "./decideaccess.js";
import { teamIndexOf } from "./teamindexof.js";

const rule = parse(Rule, { name: "r", pathPrefix: "/", service: "s", tenant: "readers" });
const publicRule = { ...rule, public: true };
const teams = [
    { name: "red", keyDigests: ["red-1", "red-2"].map(digestKey), priority: "urgent", regions: ["north"] },
    { name: "blue", keyDigests: [digestKey("blue-1")] },
].map(team => parse(Team, team));
const document: Document = { ...emptyDocument, revision: 1, teams };
const input = {
    document,
    rule,
    key: { type: "none" } as const,
    parentTeam: undefined,
    configurationAgeMs: Infinity,
    keyedAgeLimitMs: undefined,
};
const withKey = (key: string): { type: "digest"; digest: ReturnType<typeof digestKey>; } => ({
    type: "digest",
    digest: digestKey(key),
});

const reasonOf = (decision: ReturnType<typeof decideAccess>): string | undefined =>
    decision.type === "refused" ? decision.reason : undefined;

test("access: a document without teams restricts nothing, and the rule names the team", () => {
    const without = { ...document, teams: undefined };
    for (const key of [input.key, withKey("any"), { type: "malformed" } as const]) {
        assert.deepEqual(decideAccess({ ...input, document: without, key, keyedAgeLimitMs: 1 }), {
            type: "granted",
            team: "readers",
            priority: "normal",
            identity: undefined,
            regions: undefined,
        });
    }
});

test("access: each key of a team grants access in its name, and its priority precedes the rule's", () => {
    for (const key of ["red-1", "red-2"]) {
        assert.deepEqual(decideAccess({ ...input, key: withKey(key) }), {
            type: "granted",
            team: "red",
            priority: "urgent",
            identity: { statedTeam: "red" },
            regions: ["north"],
        });
    }
    const blue = decideAccess({ ...input, key: withKey("blue-1"), rule: { ...rule, priority: "background" } });
    assert.equal(blue.type === "granted" && blue.priority, "background");
});

test("access: a missing, unknown or malformed key is refused, also while the document lists no team at all", () => {
    for (const someDocument of [document, { ...document, teams: [] }]) {
        const base = { ...input, document: someDocument };
        assert.equal(reasonOf(decideAccess(base)), "missing-key");
        assert.equal(reasonOf(decideAccess({ ...base, key: withKey("unknown") })), "unknown-key");
        assert.equal(reasonOf(decideAccess({ ...base, key: { type: "malformed" } })), "malformed-key");
    }
});

test("access: a public rule needs no key, but a key that is presented must be valid", () => {
    const base = { ...input, rule: publicRule };
    const granted = decideAccess(base);
    assert.deepEqual(granted, {
        type: "granted",
        team: "none",
        priority: "normal",
        identity: { statedTeam: undefined },
        regions: undefined,
    });
    assert.equal(reasonOf(decideAccess({ ...base, key: withKey("unknown") })), "unknown-key");
    const keyed = decideAccess({ ...base, key: withKey("blue-1") });
    assert.equal(keyed.type === "granted" && keyed.team, "blue");
});

test("access: a call without a key has its parent's team, priority and regions, and states no team", () => {
    assert.deepEqual(decideAccess({ ...input, parentTeam: teams[0]!.name }), {
        type: "granted",
        team: "red",
        priority: "urgent",
        identity: { statedTeam: undefined },
        regions: ["north"],
    });
});

test("access: a key is judged also in a request that looks like a call", () => {
    const base = { ...input, parentTeam: teams[0]!.name };
    assert.equal(reasonOf(decideAccess({ ...base, key: withKey("unknown") })), "unknown-key");
    assert.equal(reasonOf(decideAccess({ ...base, key: { type: "malformed" } })), "malformed-key");
    const keyed = decideAccess({ ...base, key: withKey("blue-1") });
    assert.equal(keyed.type === "granted" && keyed.team, "blue");
});

test("access: under strict revocation an unconfirmed configuration refuses keyed requests only", () => {
    const base = { ...input, keyedAgeLimitMs: 2000, configurationAgeMs: 2000 };
    for (const key of ["red-1", "unknown"]) {
        const decision = decideAccess({ ...base, key: withKey(key) });
        assert.deepEqual(decision, { type: "refused", problem: "stale", reason: "stale-configuration" });
    }
    assert.equal(decideAccess({ ...base, key: withKey("red-1"), configurationAgeMs: 1999 }).type, "granted");
    assert.equal(decideAccess({ ...base, rule: publicRule }).type, "granted");
    assert.equal(decideAccess({ ...base, parentTeam: teams[0]!.name }).type, "granted");
    assert.equal(reasonOf(decideAccess(base)), "missing-key");
});

test("access: the teams of a document are indexed once", () => {
    assert.equal(teamIndexOf(document), teamIndexOf(document));
    assert.equal(teamIndexOf(emptyDocument), undefined);
});

test("access: regions of rule and team are combined, and an empty list is no restriction", () => {
    const [north, south] = ["north", "south"].map(name => parse(RegionName, name));
    assert.equal(allowedRegions(undefined, undefined), undefined);
    assert.equal(allowedRegions([], []), undefined);
    assert.deepEqual(allowedRegions([north!], undefined), [north]);
    assert.deepEqual(allowedRegions([], [south!]), [south]);
    assert.deepEqual(allowedRegions([north!, south!], [south!]), [south]);
    assert.deepEqual(allowedRegions([north!], [south!]), []);
});
