import assert from "node:assert/strict";
import { Readable } from "node:stream";
import { test } from "node:test";
import { OwnDialect } from "./owndialect.js";
import { requestKeyOf } from "./requestkeyof.js";

const dialect = new OwnDialect();
const sent = { method: "POST", path: "/a?b=1", headers: { host: "h" }, body: Buffer.from("x") };
const key = requestKeyOf(sent, dialect);

test("request key: the same request has the same, whatever id and deadline it comes with", () => {
    assert.match(String(key), /^[\w-]{11}$/);
    const again = { ...sent, headers: { "host": "h", [dialect.requestId]: "another", "x-trace": "7" } };
    assert.equal(requestKeyOf(again, dialect), key);
});

test("request key: another method, path, host, caller or body has another", () => {
    const others = [
        { ...sent, method: "PUT" },
        { ...sent, path: "/a?b=2" },
        { ...sent, headers: { host: "i" } },
        { ...sent, headers: { host: "h", authorization: "someone" } },
        { ...sent, headers: { host: "h", cookie: "session=1" } },
        { ...sent, body: Buffer.from("y") },
        { ...sent, body: undefined },
    ];
    const keys = others.map(other => requestKeyOf(other, dialect));
    assert.equal(new Set([key, ...keys]).size, others.length + 1);
});

test("request key: a body that is passed on as it comes has none", () => {
    assert.equal(requestKeyOf({ ...sent, body: Readable.from(["x"]) }, dialect), undefined);
});

test("request key: callers that call daemons by their numbers send the same request at each", () => {
    const keys = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.1", "[::1]:80"].map(host =>
        requestKeyOf({ ...sent, headers: { host } }, dialect)
    );
    assert.equal(new Set(keys).size, 1);
    const named = ["a.example", "A.example:80", "b.example"].map(host =>
        requestKeyOf({ ...sent, headers: { host } }, dialect)
    );
    assert.equal(new Set([...named, ...keys]).size, 3);
});
