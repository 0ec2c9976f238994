import assert from "node:assert/strict";
import { PassThrough, Readable } from "node:stream";
import { test } from "node:test";
import { eventually } from "../../test/eventually.js";
import { drainResponse } from "./drainresponse.js";

const CHUNK = Buffer.alloc(64 * 1024);
const CLOSE_BOUND_MS = 2000;

/** Resolves when the body has closed. */
const closed = (body: Readable): Promise<unknown> =>
    eventually("the body closes", async () => body.closed, CLOSE_BOUND_MS);

test("drain response: a short body is read to its end", async () => {
    const body = Readable.from([CHUNK, CHUNK]);
    drainResponse(body);
    await closed(body);
    assert.equal(body.readableEnded, true);
});

// Guards against a response without an end that is read for ever in place of a retry's first response.
test("drain response: a body without an end is destroyed", async () => {
    let reads = 0;
    const body = new Readable({
        read() {
            reads += 1;
            setImmediate(() => this.push(CHUNK));
        },
    });
    drainResponse(body);
    await closed(body);
    assert.ok(reads < 10, `${reads} parts were read`);
});

test("drain response: a body that does not arrive is destroyed", async () => {
    const body = new PassThrough();
    drainResponse(body);
    await closed(body);
    assert.equal(body.readableEnded, false);
});

test("drain response: a body that fails ends no process", async () => {
    const body = new PassThrough();
    drainResponse(body);
    body.destroy(new Error("the connection was reset"));
    await closed(body);
});
