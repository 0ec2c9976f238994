import assert from "node:assert/strict";
import { test } from "node:test";
import { emptyDocument } from "../../config/emptydocument.js";
import { parse } from "../../config/parse.js";
import { Rule } from "../../config/rule.js";
import { Service } from "../../config/service.js";
import { matchRequest } from "./matchrequest.js";

test("rules: the most specific rule matches, whatever the order of rules", () => {
    const rules = [
        { name: "all", pathPrefix: "/" },
        { name: "long", pathPrefix: "/a/b" },
        { name: "post", pathPrefix: "/a/b", methods: ["POST"] },
        { name: "host", pathPrefix: "/", host: "h" },
    ].map(rule => parse(Rule, { ...rule, service: "s" }));
    const document = { ...emptyDocument, services: [parse(Service, { name: "s" })], rules };
    const matchedName = (method: string, host: string, path: string): string | undefined =>
        matchRequest(document, { method, host, path }, true, 0)?.rule.name;
    assert.equal(matchedName("GET", "x", "/a/b/c?q"), "long");
    assert.equal(matchedName("POST", "x", "/a/b"), "post");
    assert.equal(matchedName("GET", "x", "/a/bc"), "all");
    assert.equal(matchedName("GET", "h:80", "/a/b"), "host");
});
