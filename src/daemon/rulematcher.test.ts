import assert from "node:assert/strict";
import { test } from "node:test";
import type { Document } from "../config/document.js";
import { emptyDocument } from "../config/emptydocument.js";
import { parse } from "../config/parse.js";
import { Rule } from "../config/rule.js";
import { Service } from "../config/service.js";
import { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import type { RegionName } from "../ids/regionname.js";
import type { ServiceName } from "../ids/servicename.js";
import type { TeamName } from "../ids/teamname.js";
import type { OutgoingRequest } from "../ingress/outgoingrequest.js";
import type { Plan } from "../ingress/plan.js";
import { RuleMatcher } from "./rulematcher.js";

const split = [{ service: "old", weight: 1 }, { service: "new", weight: 1 }];
const document: Document = {
    ...emptyDocument,
    revision: 1,
    services: ["old", "new"].map(name => parse(Service, { name })),
    rules: [parse(Rule, { name: "r", pathPrefix: "/", service: "old", split })],
};

test("replan: a request of a split keeps the service that its sample selected", () => {
    const configuration = new CurrentConfiguration();
    configuration.apply(document);
    const matcher = new RuleMatcher(configuration, () => 0, "north" as RegionName);
    const target = { method: "GET", host: "h", path: "/" };
    for (const splitSample of [0.1, 0.9]) {
        const matched = matcher.find(target, splitSample)!;
        const plan: Plan = {
            type: "plan",
            team: "none" as TeamName,
            priority: "normal",
            ...matched,
            splitSample,
            startedAt: 0,
            deadline: 1000,
            depth: 0,
            arrival: "first",
        };
        const out = { method: "GET", path: "/", headers: { host: "h" } } as unknown as OutgoingRequest;
        assert.equal(matcher.replan(out, plan)?.service.name, matched.service.name);
    }
});

// Guards against a request that runs in a region that its rule does not allow, because its sender has an older document.
test("stale rule: a request that the newer rules here do not allow in this region is refused", () => {
    const configuration = new CurrentConfiguration();
    const rules = document.rules.map(rule => ({ ...rule, regions: ["south" as RegionName] }));
    configuration.apply({ ...document, revision: 2, rules });
    const target = { method: "GET", host: "h", path: "/" };
    const isStaleIn = (region: string, revision: number): boolean => {
        const matcher = new RuleMatcher(configuration, () => 0, region as RegionName);
        return matcher.isStale({ kind: "repeatable", revision } as never, matcher.find(target), "old" as ServiceName);
    };
    assert.equal(isStaleIn("north", 1), true);
    assert.equal(isStaleIn("south", 1), false);
    assert.equal(isStaleIn("north", 2), false, "a sender with the same rules has decided by them");
});

// Guards against a request that is run by the former service of its rule, or after its rule was removed, because its
// sender has an older document than the daemon of the upstream.
test("stale rule: a request that the newer rules here send to another service, or do not match, is refused", () => {
    const configuration = new CurrentConfiguration();
    const [rule] = document.rules;
    configuration.apply({
        ...document,
        revision: 2,
        rules: [parse(Rule, { ...rule, split: undefined, service: "new" })],
    });
    const matcher = new RuleMatcher(configuration, () => 0, "north" as RegionName);
    const isStale = (path: string, service: string, revision: number): boolean =>
        matcher.isStale(
            { kind: "repeatable", revision } as never,
            matcher.find({ method: "GET", host: "h", path }),
            service as ServiceName,
        );
    assert.equal(isStale("/", "old", 1), true);
    assert.equal(isStale("/", "new", 1), false);
    assert.equal(isStale("/", "old", 2), false, "a sender with the same rules has decided by them");
    configuration.apply({ ...document, revision: 3, rules: [parse(Rule, { ...rule, pathPrefix: "/kept/" })] });
    assert.equal(isStale("/removed", "old", 2), true);
    assert.equal(isStale("/kept/1", "old", 2), false, "each service of a split with a weight is allowed");
    assert.equal(isStale("/kept/1", "new", 2), false);
});
