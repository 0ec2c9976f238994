import assert from "node:assert/strict";
import { test } from "node:test";
import { bodyFraming } from "./bodyframing.js";

const framings = [
    [{ "content-length": "3" }, "content-length"],
    [{}, "end-of-connection"],
    [{ "transfer-encoding": "chunked" }, "chunked"],
    [{ "transfer-encoding": " Chunked " }, "chunked"],
    [{ "transfer-encoding": "identity, chunked" }, "chunked"],
    [{ "transfer-encoding": "identity" }, "end-of-connection"],
    [{ "transfer-encoding": "" }, "end-of-connection"],
    [{ "transfer-encoding": "chunked, identity" }, "unknown"],
    [{ "transfer-encoding": ["chunked", "identity"] }, "unknown"],
    [{ "transfer-encoding": "xchunked" }, "unknown"],
    [{ "transfer-encoding": "gzip" }, "unknown"],
    [{ "transfer-encoding": "gzip, chunked" }, "unknown"],
] as const;

// Guards against a body that ends with its connection, or is still encoded, and counts as one that ends by itself (MIXED).
for (const [headers, framing] of framings) {
    test(`body framing: ${JSON.stringify(headers)} is ${framing}`, () => {
        assert.equal(bodyFraming(headers as Parameters<typeof bodyFraming>[0]), framing);
    });
}
