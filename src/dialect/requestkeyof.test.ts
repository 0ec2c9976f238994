import assert from "node:assert/strict";
import { Readable } from "node:stream";
import { test } from "node:test";
import { OwnDialect } from "./owndialect.js";
import { requestKeyOf } from "./requestkeyof.js";

const dialect = new OwnDialect();
const request = { method: "POST", path: "/a?b=1", headers: { host: "h" }, body: Buffer.from("x") };
const key = requestKeyOf(request, dialect);

test("request key: the same request has the same key, regardless of its id and unrelated fields", () => {
    assert.match(String(key), /^[\w-]{11}$/);
    const repeated = { ...request, headers: { "host": "h", [dialect.requestId]: "another", "x-trace": "7" } };
    assert.equal(requestKeyOf(repeated, dialect), key);
});

test("request key: another method, path, host, caller or body gives another key", () => {
    const others = [
        { ...request, method: "PUT" },
        { ...request, path: "/a?b=2" },
        { ...request, headers: { host: "i" } },
        { ...request, headers: { host: "h", authorization: "someone" } },
        { ...request, headers: { host: "h", cookie: "session=1" } },
        { ...request, headers: { host: "h", [dialect.team]: "red" } },
        { ...request, headers: { host: "h", [dialect.team]: "blue" } },
        { ...request, body: Buffer.from("y") },
        { ...request, body: undefined },
    ];
    const keys = others.map(other => requestKeyOf(other, dialect));
    assert.equal(new Set([key, ...keys]).size, others.length + 1);
});

test("request key: a request with a streamed body has no key", () => {
    assert.equal(requestKeyOf({ ...request, body: Readable.from(["x"]) }, dialect), undefined);
});

test("request key: a host given as an IP address does not change the key, a host name does", () => {
    const keys = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.1", "[::1]:80"].map(host =>
        requestKeyOf({ ...request, headers: { host } }, dialect)
    );
    assert.equal(new Set(keys).size, 1);
    const named = ["a.example", "A.example:80", "b.example"].map(host =>
        requestKeyOf({ ...request, headers: { host } }, dialect)
    );
    assert.equal(new Set([...named, ...keys]).size, 3);
});
