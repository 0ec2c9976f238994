import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    type GetStatusResponse,
    GetStatusResponseSchema,
    RejectionSchema,
    type UpstreamStatus,
    UpstreamStatusSchema,
} from "../gen/winglock/operator/v1/operator_pb.js";
import { statusTable } from "./statustable.js";

const REVISION = 7n;

/** Returns the status of an upstream on its own host; consecutive upstreams alternate between halls and services. */
const statusOf = (index: number): UpstreamStatus =>
    create(UpstreamStatusSchema, {
        upstream: `i-${index}`,
        host: `h${index}`,
        hall: `hall-${index % 5}`,
        service: ["splits", "results"][index % 2],
        state: "up",
        revision: REVISION,
        running: 2,
        limit: 6,
        members: 195,
        watchesStore: index < 10,
    });

const responseOf = (count: number, change: (lines: UpstreamStatus[]) => void = () => {}): GetStatusResponse => {
    const upstreams = Array.from({ length: count }, (_, index) => statusOf(index));
    change(upstreams);
    return create(GetStatusResponseSchema, { revision: REVISION, fresh: true, upstreams });
};

test("status table: many upstreams are grouped by hall and service, and the store watchers are listed", () => {
    const lines = statusTable(responseOf(195)).split("\n");
    assert.equal(lines.length, 1 + 1 + 10 + 5);
    assert.match(lines[0]!, /^revision 7, confirmed by the store$/);
    assert.match(
        lines[1]!,
        /^HALL +SERVICE +UPSTREAMS +UP +LEAVING +EVACUATED +LIMITED +COLD +SILENT +BEHIND +RUNNING +WAITING +LIMIT$/,
    );
    assert.match(lines[2]!, /^hall-0 +results +19 +19 +0 +0 +0 +0 +0 +0 +38 +0 +114$/);
    assert.equal(lines.at(-5), "hall hall-0: the store is watched by h0, h5");
});

test("status table: upstreams that do not respond or are behind are listed, and hosts that know fewer daemons", () => {
    const text = statusTable(responseOf(195, lines => {
        lines[20]!.state = "silent";
        lines[21]!.revision = 6n;
        lines[22]!.members = 150;
    }));
    assert.match(text, /^hall-0 +splits +20 +19 +0 +0 +0 +0 +1 +0 /m);
    assert.match(text, /^hall-1 +results +20 +20 +0 +0 +0 +0 +0 +1 /m);
    assert.match(text, /^fewer daemons than 195 are known to h22$/m);
    assert.match(text, /^i-20 +splits +hall-0 +silent +- /m);
    assert.match(text, /^i-21 +results +hall-1 +up +6 \(behind\) /m);
    assert.doesNotMatch(text, /^i-23 /m);
});

test("status table: each upstream is listed if there are few, or if all are requested", () => {
    assert.equal(statusTable(responseOf(13)).split("\n").length, 2 + 13);
    assert.equal(statusTable(responseOf(195), true).split("\n").length, 2 + 195);
});

test("status table: evacuated halls are named, and evacuated and cold upstreams are counted separately", () => {
    const status = responseOf(195, lines => {
        lines.filter(line => line.hall === "hall-2").forEach(line => line.state = "evacuated");
        lines[20]!.state = "cold";
    });
    status.evacuatedHalls = ["hall-2"];
    const text = statusTable(status);
    assert.match(text, /^evacuated: hall-2$/m);
    assert.match(text, /^hall-2 +splits +20 +0 +0 +20 +0 +0 +0 /m);
    assert.match(text, /^hall-0 +splits +20 +19 +0 +0 +0 +1 +0 /m);
    assert.match(text, /^i-20 +splits +hall-0 +cold /m);
});

test("status table: a rejected configuration is shown with its fields and the time since", () => {
    const status = responseOf(2);
    status.rejection = create(RejectionSchema, { fields: ["rules.3.kind: must be a kind"], ageMs: 35_400n });
    assert.equal(
        statusTable(status).split("\n").slice(1, 3).join("\n"),
        "the stored configuration has been rejected for 35 s:\n    rules.3.kind: must be a kind",
    );
});

test("status table: an upstream's stated rate limit is shown", () => {
    const text = statusTable(responseOf(195, lines => {
        lines[20]!.state = "limited";
        lines[20]!.limitPerSecond = 7.8;
    }));
    assert.match(text, /^hall-0 +splits +20 +19 +0 +0 +1 +0 +0 /m);
    assert.match(text, /^i-20 +splits +hall-0 +limited to 7\.8\/s /m);
});

test("status table: what has crossed between regions is summed over hosts, and left out if there is nothing", () => {
    assert.doesNotMatch(statusTable(responseOf(3)), /between regions/);
    const text = statusTable(responseOf(3, lines => {
        lines.forEach((line, index) => {
            line.host = `h${Math.floor(index / 2)}`;
            line.regionSentBytes = 100n;
            line.regionReceivedBytes = 50n;
            line.regionSentMessages = 3n;
        });
    }));
    assert.match(text, /^between regions: 200 bytes sent, 100 received, 6 control messages sent$/m);
});
