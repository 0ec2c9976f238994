import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { eventually } from "./eventually.js";
import { pause } from "./pause.js";
import type { PlatformMesh } from "./platformmesh.js";
import { withPlatform } from "./withplatform.js";

/** The bound on the time from a caller's leaving to the cancellation of its requests. */
const CANCEL_BOUND_MS = 500;
const INGRESS_PORT = 7104;

type Caller = { readonly socket: Socket; readonly received: () => string; readonly isEnded: () => boolean; };

const request = (method: string, path: string, id: string, body = "", timeLimitMs = 5000): string =>
    `${method} ${path} HTTP/1.1\r\nhost: site.example\r\nattempt-id: ${id}\r\ndeadline-ms: ${timeLimitMs}\r\n`
    + `content-length: ${body.length}\r\n\r\n${body}`;
const page = (id: string): string => request("GET", "/pages/1", id);

const call = (mesh: PlatformMesh, name: string, allowHalfOpen = true): Caller => {
    const socket = connect({ port: INGRESS_PORT, host: mesh.host(name).ip, allowHalfOpen });
    let text = "";
    let isEnded = false;
    socket.on("data", chunk => text += chunk).on("end", () => isEnded = true).on("error", () => {});
    return { socket, received: () => text, isEnded: () => isEnded };
};

const statusesOf = (text: string): string[] => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status!);
/** Returns the ids of the requests that were answered, in the order of the responses. */
const answeredOf = (text: string): string[] => [...text.matchAll(/^attempt-id: (.*)\r$/gim)].map(([, id]) => id!);

const setWorkMs = async (mesh: PlatformMesh, service: string, workMs: number): Promise<void> => {
    const hosts = mesh.hosts.filter(host => host.service === service);
    await Promise.all(hosts.map(({ name }) => mesh.controlInstance(name, { workMs })));
};

test("pipelined: requests of both kinds and with bodies are answered in order, each once", async () => {
    await withPlatform(async mesh => {
        await setWorkMs(mesh, "fees", 150);
        const { socket, received } = call(mesh, "pages-1");
        const ids = Array.from({ length: 20 }, (_, index) => `mix-${index}`);
        socket.end(
            ids.map((id, index) =>
                index % 2 === 0
                    ? request("POST", "/fees/1", id, "b".repeat(index * 100))
                    : page(id)
            ).join(""),
        );
        await eventually("all requests are answered", async () => statusesOf(received()).length === ids.length);
        assert.deepEqual([...new Set(statusesOf(received()))], ["200"]);
        assert.deepEqual(answeredOf(received()), ids);
        assert.deepEqual(ids.map(id => mesh.runsOf(id)), ids.map(() => 1));
    });
});

for (const how of ["destroy", "resetAndDestroy"] as const) {
    test(`pipelined: after a caller has left (${how}), none of its requests begins to run`, async () => {
        await withPlatform(async mesh => {
            await setWorkMs(mesh, "pages", 1000);
            const { socket } = call(mesh, "fees-1");
            const ids = Array.from({ length: 30 }, (_, index) => `gone-${index}`);
            socket.write(ids.map(page).join(""));
            await pause(200);
            socket[how]();
            await pause(CANCEL_BOUND_MS);
            const runCount = mesh.instanceLines.length;
            await pause(2000);
            assert.equal(mesh.instanceLines.length, runCount);
        });
    });
}

test("pipelined: a planned stop answers what was accepted, and nothing that is unanswered has run", async () => {
    await withPlatform(async mesh => {
        await setWorkMs(mesh, "pages", 300);
        const { socket, received, isEnded } = call(mesh, "fees-1");
        const ids = Array.from({ length: 40 }, (_, index) => `stop-${index}`);
        socket.write(ids.map(page).join(""));
        await pause(150);
        mesh.daemons.get("fees-1")!.signal("SIGTERM");
        await eventually("the connection is closed", async () => isEnded());
        const answered = statusesOf(received()).length;
        assert.ok(answered > 0 && answered < ids.length, `${answered} answered`);
        const closing = [...received().matchAll(/^connection: (.*)\r$/gim)].map(([, value]) => value);
        assert.equal(closing.indexOf("close"), answered - 1, closing.join());
        const unanswered = ids.slice(answered);
        assert.deepEqual(unanswered.map(id => mesh.runsOf(id)), unanswered.map(() => 0));
    });
});
