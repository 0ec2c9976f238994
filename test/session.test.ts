import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import type { Mesh } from "../demo/mesh.js";
import { eventually } from "./eventually.js";
import { readRevisions } from "./readrevisions.js";
import { Session } from "./session.js";
import { withMesh } from "./withmesh.js";

const waitForRevision = (mesh: Mesh, revision: number): Promise<void> =>
    eventually(
        `all daemons at revision ${revision}`,
        async () => [...(await readRevisions(mesh)).values()].every(current => current === revision),
    );

const createUpstream = async (session: Session, mesh: Mesh, name: string): Promise<void> => {
    const { service, hall, upstream, peerProxy } = mesh.host(name);
    const placementFlags = ["--host", name, "--address", upstream, "--gate", peerProxy, "--hall", hall];
    await session.run(
        "upstream",
        "create",
        name,
        "--service",
        service,
        ...placementFlags,
        "--region",
        "here",
        "--slots",
        "4",
    );
};

test("session: an operator configures an empty store until a request is served", async () => {
    await withMesh(async mesh => {
        const session = new Session(mesh);
        await session.run("status");
        await session.run("service", "create", "pages", "--max-wait-ms", "500");
        await createUpstream(session, mesh, "pages-1");
        await createUpstream(session, mesh, "pages-2");
        await session.run(
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
        await waitForRevision(mesh, 4);
        await session.run("rule", "list");
        await session.run("explain", "GET", "http://any/pages/1");
        await session.run("explain", "POST", "http://any/pages/1");
        await session.run("explain", "GET", "http://any/other");
        const { statusCode, body } = await request(`http://${mesh.hosts[0]!.ingress}/pages/1`, {
            headers: { "x-load-id": "s" },
        });
        session.note(`GET /pages/1 answered ${statusCode} ${(await body.text()).slice(0, 9)}`);
        session.assertMatchesGolden("first-request");
    }, { configured: false });
});

test("session: changes of two operators conflict", async () => {
    await withMesh(async mesh => {
        const session = new Session(mesh);
        await session.run("service", "update", "pages", "--max-wait-ms", "300", "--dry-run");
        await session.run("service", "update", "pages", "--max-wait-ms", "300", "--base", "1", "--change-id", "ana-1");
        await session.run("service", "update", "pages", "--max-wait-ms", "700", "--base", "1", "--change-id", "ben-1");
        await session.run("service", "show", "pages");
        await session.run("service", "update", "pages", "--max-wait-ms", "700", "--base", "2", "--change-id", "ben-2");
        await session.run("service", "update", "pages", "--max-wait-ms", "700", "--change-id", "ben-2");
        await session.run("resolve", "ana-1");
        await session.run("resolve", "eve-1");
        await session.run("service", "create", "pages");
        await session.run("rule", "create", "bad", "--path-prefix", "no-slash", "--service", "pages");
        session.assertMatchesGolden("conflict");
    });
});

test("session: an upstream is drained and undrained", async () => {
    await withMesh(async mesh => {
        const session = new Session(mesh);
        await session.run("drain", "pages-1");
        await waitForRevision(mesh, 2);
        await session.run("status");
        await session.run("explain", "GET", "http://any/pages/1");
        await session.run("undrain", "pages-1");
        await waitForRevision(mesh, 3);
        await session.run("status");
        assert.equal((await mesh.cli("status", "--json")).code, 0);
        session.assertMatchesGolden("drain");
    });
});
