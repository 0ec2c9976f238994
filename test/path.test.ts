import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { request } from "undici";
import { control } from "../demo/control.js";
import type { Mesh } from "../demo/mesh.js";
import { withMesh } from "./withmesh.js";

/** Sends text over a new connection; resolves with all that is received until the connection closes. */
const sendRaw = async (address: string, text: string): Promise<string> => {
    const [host, port] = address.split(":") as [string, string];
    const socket = connect(Number(port), host);
    socket.setTimeout(3000, () => socket.destroy());
    socket.on("error", () => {});
    socket.write(text);
    let received = "";
    socket.on("data", chunk => received += chunk);
    await once(socket, "close");
    return received;
};

const checkResponses = async (mesh: Mesh): Promise<void> => {
    const ingress = `http://${mesh.hosts[4]!.ingress}`;
    const headers = { "x-load-id": "p1" };
    const page = await request(`${ingress}/pages/1`, { headers });
    assert.equal(page.statusCode, 200);
    assert.equal((await page.body.json() as { id: string; }).id, "p1");
    const internalHeaders = Object.keys(page.headers).filter(name => name.startsWith("winglock-"));
    assert.deepEqual(internalHeaders, [], "callers receive no header that daemons use among themselves");

    const head = await request(`${ingress}/pages/1`, { method: "HEAD" });
    assert.equal(head.statusCode, 200);
    assert.equal(await head.body.text(), "");

    const events = await request(`${ingress}/events`, { headers: { "x-load-id": "e1" } });
    const streamed = await events.body.text();
    assert.equal(streamed.match(/data: e1/g)?.length, 10);

    const poll = await request(`${ingress}/poll?ms=700`, { headers: { "x-load-id": "l1" } });
    assert.equal(poll.statusCode, 200);
    await poll.body.dump();

    const body = "x".repeat(3_000_000);
    const large = await request(`${ingress}/fees/1`, { method: "POST", body, headers: { "x-load-id": "f1" } });
    assert.equal(large.statusCode, 200);
    assert.equal((await large.body.json() as { id: string; }).id, "f1");
};

const checkRefusals = async (mesh: Mesh): Promise<void> => {
    const { ingress } = mesh.hosts[4]!;
    const unmatched = await request(`http://${ingress}/nowhere`);
    assert.equal(unmatched.statusCode, 404);
    assert.equal(unmatched.headers["winglock-outcome"], "not-run");
    assert.equal((await unmatched.body.json() as { type: string; }).type, "urn:winglock:problem:no-rule");

    const tooLarge = await request(`http://${ingress}/fees/1`, { method: "POST", body: "x".repeat(70_000_000) }).catch(
        () => undefined,
    );
    assert.ok(tooLarge === undefined || tooLarge.statusCode === 413);

    const table = [
        [
            "both lengths",
            "POST /fees/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            "400",
        ],
        ["two lengths", "POST /fees/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc", "400"],
        ["no host", "GET /pages/1 HTTP/1.1\r\n\r\n", "400"],
        ["space in name", "GET /pages/1 HTTP/1.1\r\nhost : a\r\n\r\n", "400"],
        ["large header", `GET /pages/1 HTTP/1.1\r\nhost: a\r\nx: ${"x".repeat(40_000)}\r\n\r\n`, "431"],
        ["bad chunk", "POST /fees/1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "400"],
        ["odd target", "GET pages HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n", "400"],
    ] as const;
    for (const [name, text, status] of table) {
        const response = await sendRaw(ingress, text);
        assert.ok(response.startsWith(`HTTP/1.1 ${status}`), `${name}: ${response.slice(0, 60)}`);
    }
    const peerRes = await request(`http://${mesh.hosts[0]!.peer}/pages/1`);
    assert.equal(peerRes.statusCode, 403, "the peer listener accepts only daemons");
    await peerRes.body.dump();
};

const checkForgedHeaders = async (mesh: Mesh): Promise<void> => {
    const headers = {
        "x-load-id": "g1",
        "winglock-context": "forged",
        "winglock-call": "{}",
        "winglock-timeout-ms": "1",
    };
    const { statusCode, body } = await request(`http://${mesh.hosts[1]!.ingress}/pages/1`, { headers });
    assert.equal(statusCode, 200);
    const { depth } = await body.json() as { depth: string; };
    assert.ok(Number(depth) > 1000, "the upstream sees the daemon's time limit, not the caller's");
};

const checkCancellation = async (mesh: Mesh): Promise<void> => {
    const pages = mesh.hosts.filter(host => host.service === "pages");
    await Promise.all(pages.map(host => control(host.upstream, { meanMs: 1000 })));
    const abandoned = request(`http://${mesh.hosts[1]!.ingress}/pages/1`, { signal: AbortSignal.timeout(200) });
    await assert.rejects(abandoned);
    await new Promise(resolve => setTimeout(resolve, 300));
    const counts = await Promise.all(pages.map(async host => {
        const { body } = await request(`http://${host.upstream}/counts`);
        return await body.json() as { cancelled: number; running: number; };
    }));
    assert.ok(counts.some(count => count.cancelled > 0), "the upstream learns that the caller has disconnected");
    assert.ok(counts.every(count => count.running === 0), "no upstream still runs the request, nor a hedge of it");
};

test("path: whole, streamed and polled responses, refusals, forged headers and cancellation are correct", async () => {
    await withMesh(async mesh => {
        await checkResponses(mesh);
        await checkRefusals(mesh);
        await checkForgedHeaders(mesh);
        await checkCancellation(mesh);
    });
});
