import assert from "node:assert/strict";
import { test } from "node:test";
import { withCrowd } from "./withcrowd.js";

const head = (method: string, path: string, fields = ""): string =>
    `${method} ${path} HTTP/1.1\r\nhost: site.example\r\ndeadline-ms: 1000\r\n${fields}\r\n`;
const CHUNKED = "transfer-encoding: chunked\r\n";
const chunkedPost = (path = "/fees/1"): Buffer => Buffer.from(head("POST", path, CHUNKED));
/** Returns a part of a chunked body, without its end. */
const chunks = (count: number, bytes = 1): Buffer =>
    Buffer.from(`${bytes.toString(16)}\r\n${"b".repeat(bytes)}\r\n`.repeat(count));
const LAST_CHUNK = Buffer.from("0\r\n\r\n");
const repeated = (text: string, count: number): Buffer => Buffer.from(text.repeat(count));

// Guards against a daemon that ran out of memory: each chunk of a body was kept as an object of its own.
test("crowd: unfinished bodies in 260,000 chunks of one byte end no daemon", async t => {
    const payload = [chunkedPost(), chunks(260_000)];
    await withCrowd(t, { crowd: { count: 6, payload: () => payload } });
});

test("crowd: unfinished bodies of 60,000 bytes in chunks of one byte end no daemon", async t => {
    const payload = [chunkedPost(), chunks(60_000)];
    await withCrowd(t, { crowd: { count: 60, payload: () => payload } });
});

test("crowd: whole bodies of 60,000 bytes in chunks of one byte end no daemon", async t => {
    const payload = [chunkedPost(), chunks(60_000), LAST_CHUNK];
    await withCrowd(t, { crowd: { count: 30, payload: () => payload } });
});

test("crowd: unfinished bodies in chunks of 16 KiB end no daemon", async t => {
    const payload = [chunkedPost(), chunks(40, 16 * 1024)];
    await withCrowd(t, { crowd: { count: 600, payload: () => payload } });
});

test("crowd: streamed bodies in chunks of one byte that wait for an upstream end no daemon", async t => {
    const payload = [chunkedPost(), chunks(60_000)];
    await withCrowd(t, {
        crowd: { count: 200, payload: () => payload },
        settings: { keepBytes: 4096 },
        prepare: mesh => mesh.controlInstance("fees-1", { workMs: 500 }),
    });
});

// Guards against ordinary bodies being refused while bodies of which nothing more arrives keep the memory reserved.
test("crowd: bodies that stop after ten bytes take the memory from no ordinary one", async t => {
    const payload = [chunkedPost(), chunks(1, 10)];
    await withCrowd(t, { crowd: { count: 200, payload: () => payload } });
});

// Guards against the limit on bodies being applied only to those that are not kept, and against a wrong refusal.
test("crowd: chunked bodies above the limit are refused with 413", async t => {
    const whole = [chunkedPost(), chunks(10, 10_000), LAST_CHUNK];
    const unfinished = [chunkedPost(), chunks(40, 10_000)];
    await withCrowd(t, {
        crowd: { count: 40, payload: index => index % 2 === 0 ? whole : unfinished },
        check: async ({ statuses }) => assert.deepEqual(statuses, Array.from({ length: 40 }, () => 413)),
    });
});

// Guards against a daemon that ran out of memory: each parsed request was kept, whatever its connection may have served.
test("crowd: pipelined requests that no rule matches end no daemon", async t => {
    const payload = [Buffer.from(head("GET", "/pages/1")), repeated(head("GET", "/none"), 30_000)];
    await withCrowd(t, { crowd: { count: 100, payload: () => payload } });
});

test("crowd: pipelined requests whose responses are not read end no daemon", async t => {
    const payload = [repeated(head("GET", "/pages/1"), 1000)];
    await withCrowd(t, { crowd: { count: 500, payload: () => payload, readsResponses: false } });
});

test("crowd: large responses that are not read end no daemon", async t => {
    const payload = [repeated(head("GET", "/pages/1"), 40)];
    await withCrowd(t, {
        crowd: { count: 200, payload: () => payload, readsResponses: false },
        prepare: mesh => mesh.controlInstance("pages-1", { padBytes: 200_000 }),
    });
});

test("crowd: bodies in chunks of one byte behind an unanswered request end no daemon", async t => {
    const payload = [chunkedPost(), chunks(1), chunkedPost(), chunks(60_000)];
    const behind = [Buffer.from(head("GET", "/pages/1").repeat(8)), chunkedPost(), chunks(60_000)];
    await withCrowd(t, {
        crowd: { count: 200, payload: index => index % 2 === 0 ? payload : behind },
        prepare: mesh => mesh.controlInstance("pages-1", { workMs: 900 }),
    });
});

test("crowd: unfinished heads end no daemon", async t => {
    const payload = [repeated("a: b\r\n", 10_000)];
    const first = Buffer.from("GET /pages/1 HTTP/1.1\r\nhost: site.example\r\n");
    await withCrowd(t, { crowd: { count: 1500, payload: () => [first, ...payload] } });
});

// Guards against ordinary callers that are not accepted while connections that send nothing hold all descriptors.
test("crowd: connections that send nothing or a part of a head take the descriptors from no ordinary caller", async t => {
    const part = [Buffer.from("GET /pages/1 HTT")];
    await withCrowd(t, {
        crowd: { count: 500, payload: index => index % 2 === 0 ? [] : part },
        maxDescriptors: 300,
        ordinaryCallers: 8,
    });
});

// Guards against a refused body that is read without an end.
test("crowd: the connection of a refused body that does not end is closed", async t => {
    const payload = [chunkedPost("/none"), chunks(4000, 16 * 1024)];
    await withCrowd(t, {
        crowd: { count: 20, payload: () => payload },
        check: async ({ openCount, statuses }) => {
            assert.equal(openCount, 0);
            assert.ok(statuses.every(status => status === 404));
        },
    });
});

// Guards against a daemon that ran out of memory because of the chunks of an upstream's responses.
test("crowd: responses in chunks of one byte end no daemon", async t => {
    const payload = [repeated(head("GET", "/pages/1"), 8)];
    await withCrowd(t, {
        crowd: { count: 30, payload: () => payload },
        prepare: mesh => mesh.controlInstance("pages-1", { padBytes: 60_000, chunkBytes: 1 }),
    });
});

const endlessCases = {
    "a head without an end": { fault: "endless-head" },
    "a body without an end": { fault: "endless-body" },
    "a body without an end that is not read": { fault: "endless-body", readsResponses: false },
} as const;
const upstreams = {
    "this daemon's": { method: "GET", service: "pages", fields: "" },
    "a peer's": { method: "POST", service: "fees", fields: "content-length: 0\r\n" },
} as const;

for (const [response, { fault, ...crowd }] of Object.entries(endlessCases)) {
    for (const [owner, { method, service, fields }] of Object.entries(upstreams)) {
        // Guards against a daemon that runs out of memory over what a faulty upstream sends without end.
        test(`crowd: ${response} of ${owner} upstream ends no daemon`, async t => {
            const payload = [Buffer.from(head(method, `/${service}/endless`, fields))];
            await withCrowd(t, {
                crowd: { count: 48, payload: () => payload, ...crowd },
                slots: 12,
                prepare: mesh => mesh.controlInstance(`${service}-1`, { fault }),
            });
        });
    }
}
