import { pack } from "msgpackr";
import assert from "node:assert/strict";
import { test } from "node:test";
import { readRequestMetadata } from "./readrequestmetadata.js";
import { readResponseMetadata } from "./readresponsemetadata.js";
import type { RequestMetadata } from "./requestmetadata.js";
import { requestMetadataCodec } from "./requestmetadatacodec.js";
import type { ResponseMetadata } from "./responsemetadata.js";
import { responseMetadataCodec } from "./responsemetadatacodec.js";

const request = {
    id: "abcdefghijkl.12",
    upstream: "i-1",
    kind: "once",
    priority: "urgent",
    team: "none",
    answer: "whole",
    remainingMs: 950.25,
    maxWaitMs: 1000,
    depth: 0,
    revision: 4,
    choices: 2,
    nearChoices: 1,
    from: "10.0.0.1:7620",
    arrival: "first",
} as RequestMetadata;

const response = {
    incarnation: "abcdefghijkl",
    gateTime: 1234.56,
    revision: 4,
    report: { running: 3, waiting: 1, limit: 12, serviceMs: 120.25, baseMs: 110, pace: 4 },
} as ResponseMetadata;

test("wire: request metadata survives encoding, with times rounded down", () => {
    assert.deepEqual(readRequestMetadata(requestMetadataCodec.write(request)), { ...request, remainingMs: 950.2 });
});

test("wire: request metadata with values other than the defaults survives encoding", () => {
    const nonDefault = { depth: 3, team: "t", answer: "streamed", offer: "o", arrival: "hedge" };
    const full = { ...request, ...nonDefault, incarnation: "x", gateTime: 7 };
    assert.deepEqual(readRequestMetadata(requestMetadataCodec.write(full)), { ...full, remainingMs: 950.2 });
});

test("wire: response metadata survives encoding", () => {
    const report = { ...response.report!, serviceMs: 120.2 };
    assert.deepEqual(readResponseMetadata(responseMetadataCodec.write(response)), {
        ...response,
        gateTime: 1234.5,
        report,
    });
    const refusal = {
        ...response,
        report: undefined,
        outcome: "not-run",
        reason: "slow",
        retryAfterMs: 20,
    } as ResponseMetadata;
    const { report: _none, ...withoutReport } = refusal;
    const shed = { ...response, report, reason: "shed", arrived: true } as ResponseMetadata;
    assert.deepEqual(readResponseMetadata(responseMetadataCodec.write(shed)), { ...shed, gateTime: 1234.5 });
    assert.deepEqual(readResponseMetadata(responseMetadataCodec.write(refusal)), {
        ...withoutReport,
        gateTime: 1234.5,
    });
});

test("wire: request metadata takes fewer than 70 bytes, because each request carries it", () => {
    const { length } = pack(requestMetadataCodec.write(request));
    assert.ok(length < 70, String(length));
});

test("wire: invalid metadata is rejected", () => {
    for (const value of [undefined, null, "", "{}", {}, [], [1, 2, 3], ["a", "b"], [["a"]], ["a", "b", 7, 9]]) {
        assert.equal(readRequestMetadata(value), undefined);
        assert.equal(readResponseMetadata(value), undefined);
    }
});
