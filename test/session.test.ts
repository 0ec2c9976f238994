import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import type { Mesh } from "../demo/mesh.js";
import { eventually } from "./eventually.js";
import { revisions } from "./revisions.js";
import { Session } from "./session.js";
import { withMesh } from "./withmesh.js";

const settle = (mesh: Mesh, revision: number): Promise<void> =>
    eventually(`all at ${revision}`, async () => [...(await revisions(mesh)).values()].every(at => at === revision));

const createUpstream = async (session: Session, mesh: Mesh, name: string): Promise<void> => {
    const { service, hall, upstream, peerProxy } = mesh.host(name);
    const places = ["--host", name, "--address", upstream, "--gate", peerProxy, "--hall", hall];
    await session.type("upstream", "create", name, "--service", service, ...places, "--region", "here", "--slots", "4");
};

test("session: from an empty store to a served request", async () => {
    await withMesh(async mesh => {
        const session = new Session(mesh);
        await session.type("status");
        await session.type("service", "create", "pages", "--max-wait-ms", "500");
        await createUpstream(session, mesh, "pages-1");
        await createUpstream(session, mesh, "pages-2");
        await session.type(
            "rule",
            "create",
            "pages",
            "--path-prefix",
            "/pages",
            "--service",
            "pages",
            "--tenant",
            "readers",
        );
        await settle(mesh, 4);
        await session.type("rule", "list");
        await session.type("explain", "GET", "http://any/pages/1");
        await session.type("explain", "POST", "http://any/pages/1");
        await session.type("explain", "GET", "http://any/other");
        const { statusCode, body } = await request(`http://${mesh.hosts[0]!.ingress}/pages/1`, {
            headers: { "x-load-id": "s" },
        });
        session.note(`GET /pages/1 answered ${statusCode} ${(await body.text()).slice(0, 9)}`);
        session.matches("first-request");
    }, { configured: false });
});

test("session: operators in conflict", async () => {
    await withMesh(async mesh => {
        const session = new Session(mesh);
        await session.type("service", "update", "pages", "--max-wait-ms", "300", "--dry-run");
        await session.type("service", "update", "pages", "--max-wait-ms", "300", "--base", "1", "--change-id", "ana-1");
        await session.type("service", "update", "pages", "--max-wait-ms", "700", "--base", "1", "--change-id", "ben-1");
        await session.type("service", "show", "pages");
        await session.type("service", "update", "pages", "--max-wait-ms", "700", "--base", "2", "--change-id", "ben-2");
        await session.type("service", "update", "pages", "--max-wait-ms", "700", "--change-id", "ben-2");
        await session.type("resolve", "ana-1");
        await session.type("resolve", "eve-1");
        await session.type("service", "create", "pages");
        await session.type("rule", "create", "bad", "--path-prefix", "no-slash", "--service", "pages");
        session.matches("conflict");
    });
});

test("session: a drain", async () => {
    await withMesh(async mesh => {
        const session = new Session(mesh);
        await session.type("drain", "pages-1");
        await settle(mesh, 2);
        await session.type("status");
        await session.type("explain", "GET", "http://any/pages/1");
        await session.type("undrain", "pages-1");
        await settle(mesh, 3);
        await session.type("status");
        assert.equal((await mesh.cli("status", "--json")).code, 0);
        session.matches("drain");
    });
});
