import assert from "node:assert/strict";
import { Readable } from "node:stream";
import { test } from "node:test";
import { gzipSync } from "node:zlib";
import { readJsonBody } from "./readjsonbody.js";
import { Transfer } from "./transfer.js";

const PART = Buffer.alloc(1024 * 1024, " ");
/** More than the largest document by far, and a small part of a daemon's memory. */
const MAX_PARTS = 64;

test("read json body: a body in parts is parsed, with and without compression", async () => {
    const bytes = Buffer.from(JSON.stringify({ revision: 1 }));
    const partsOf = (body: Buffer): Readable => Readable.from([body.subarray(0, 3), body.subarray(3)]);
    const transfer = new Transfer();
    assert.deepEqual(await readJsonBody(partsOf(bytes), undefined, transfer), { revision: 1 });
    assert.equal(transfer.bytes, bytes.length);
    assert.deepEqual(await readJsonBody(partsOf(gzipSync(bytes)), "gzip", new Transfer()), { revision: 1 });
});

// Guards against a daemon that runs out of memory over a response without an end.
test("read json body: a body without an end is rejected and destroyed", async () => {
    let parts = 0;
    const body = new Readable({
        read() {
            parts += 1;
            this.push(parts > MAX_PARTS ? null : PART);
        },
    });
    await assert.rejects(readJsonBody(body, undefined, new Transfer()), /longer than/);
    assert.ok(body.destroyed);
    assert.ok(parts <= MAX_PARTS, `${parts} parts were read`);
});
