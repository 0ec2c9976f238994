import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ByteCollector } from "./bytecollector.js";

const CHUNKS = 60_000;

test("byte collector: the bytes are those of the chunks, in their order", () => {
    fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 3000 })), parts => {
        const chunks = parts.map(part => Buffer.from(part));
        const collector = new ByteCollector();
        chunks.forEach(chunk => collector.add(chunk));
        assert.equal(collector.size, chunks.reduce((sum, { length }) => sum + length, 0));
        assert.deepEqual(collector.bytes, Buffer.concat(chunks));
    }));
});

// The first chunk may be a part of a buffer that is used otherwise.
test("byte collector: the chunks are not changed", () => {
    const first = Buffer.from("abc");
    const collector = new ByteCollector();
    collector.add(first.subarray(0, 1));
    collector.add(Buffer.from("x"));
    assert.equal(collector.bytes.toString(), "ax");
    assert.equal(first.toString(), "abc");
});

// Guards against a daemon that ran out of memory because of chunks of one byte.
test("byte collector: chunks of one byte take the memory of their bytes", () => {
    const collector = new ByteCollector();
    for (let index = 0; index < CHUNKS; index++) {
        collector.add(Buffer.alloc(1, "b"));
    }
    assert.equal(collector.size, CHUNKS);
    assert.ok(collector.bytes.buffer.byteLength <= 2 * CHUNKS);
});
