import assert from "node:assert/strict";
import { test } from "node:test";
import { formatRequestLog } from "./formatrequestlog.js";
import { readRequestLog } from "./readrequestlog.js";

const LOG = [
    `host-b {"level":"info","time":1012,"part":"gate","id":"r1","try":"x.1","outcome":"not-run","reason":"slow","message":"The gate did not serve the request."}`,
    `host-a {"level":"info","time":1010,"part":"ingress","id":"r1","try":"x.1","upstream":"u1","message":"The request is sent to an upstream."}`,
    `host-a {"level":"info","time":1011,"part":"ingress","id":"r10","message":"The request is sent to an upstream."}`,
    `host-a {"level":"info","time":1020,"part":"ingress","id":"r1","report":{"running":3},"message":"The request has ended."}`,
    "r1 but no JSON",
    `{"id":"r1"}`,
].join("\n");

test("why: the lines of one request from all daemons are returned in order of time", () => {
    assert.deepEqual(readRequestLog(LOG, "r1").map(line => line.time), [1010, 1012, 1020]);
    assert.deepEqual(readRequestLog(LOG, "r2"), []);
});

test("why: each line shows the time, the part, the message and its other fields", () => {
    assert.deepEqual(formatRequestLog(readRequestLog(LOG, "r1")).split("\n"), [
        "+0 ms     ingress  The request is sent to an upstream. (try x.1, upstream u1)",
        "+2 ms     gate     The gate did not serve the request. (try x.1, outcome not-run, reason slow)",
        `+10 ms    ingress  The request has ended. (report {"running":3})`,
    ]);
});
