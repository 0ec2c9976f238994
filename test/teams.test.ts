import assert from "node:assert/strict";
import { test } from "node:test";
import { control } from "../demo/control.js";
import type { Mesh } from "../demo/mesh.js";
import { digestKey } from "../src/config/digestkey.js";
import { fingerprintOf } from "../src/config/fingerprintof.js";
import { chainMesh } from "./chainmesh.js";
import { eventually } from "./eventually.js";
import { withMesh } from "./withmesh.js";

const KEY_PATTERN = /^key \(shown only now\): ([\w-]{32})$/m;

const statusesOf = (mesh: Mesh, key: string | undefined, path = "/pages/1"): Promise<number[]> =>
    Promise.all(mesh.hosts.map(async ({ ingress }) => {
        const response = await fetch(`http://${ingress}${path}`, {
            headers: key === undefined ? {} : { "winglock-key": key },
        });
        await response.arrayBuffer();
        return response.status;
    }));

const allRespond = (mesh: Mesh, key: string | undefined, status: number, path?: string): Promise<void> =>
    eventually(
        `all daemons respond with ${status}`,
        async () => (await statusesOf(mesh, key, path)).every(other => other === status),
        5000,
    );

const run = async (mesh: Mesh, ...args: string[]): Promise<string> => {
    const { code, stdout, stderr } = await mesh.cli(...args);
    assert.equal(code, 0, stderr);
    return stdout;
};

const newKeyOf = (stdout: string): string => KEY_PATTERN.exec(stdout)![1]!;

// Guards against a rotation that locks a team out, and against keys that remain visible after their creation.
test("teams: an operator creates a team, rotates its key with an overlap, and sees fingerprints only", async () => {
    await withMesh(async mesh => {
        assert.ok(
            (await statusesOf(mesh, undefined)).every(status => status === 200),
            "no key is needed without teams",
        );
        const first = newKeyOf(await run(mesh, "team", "create", "red", "--priority", "urgent", "--region", "here"));
        await allRespond(mesh, undefined, 401);
        await allRespond(mesh, first, 200);
        await run(mesh, "rule", "update", "pages", "--public", "true");
        await allRespond(mesh, undefined, 200);
        await run(mesh, "rule", "update", "pages", "--public", "false");
        await allRespond(mesh, undefined, 401);
        const second = newKeyOf(await run(mesh, "team", "rotate", "red"));
        await allRespond(mesh, second, 200);
        await allRespond(mesh, first, 200);
        await run(mesh, "team", "drop-key", "red", fingerprintOf(digestKey(first)));
        await allRespond(mesh, first, 401);
        await allRespond(mesh, second, 200);
        const third = newKeyOf(await run(mesh, "team", "rotate", "red", "--drop-old"));
        await allRespond(mesh, second, 401);
        await allRespond(mesh, third, 200);
        await run(mesh, "team", "update", "red", "--rate-per-second", "50", "--burst", "50");
        await allRespond(mesh, third, 200);
        const fingerprint = fingerprintOf(digestKey(third));
        for (const args of [["team", "list"], ["team", "show", "red"], ["team", "show", "red", "--json"]]) {
            const text = await run(mesh, ...args);
            assert.match(text, new RegExp(fingerprint));
            assert.doesNotMatch(text, new RegExp(`${third}|${digestKey(third)}`));
        }
        const exported = JSON.parse(await run(mesh, "export")) as { teams: { keyDigests: string[]; }[]; };
        assert.deepEqual(exported.teams.map(team => team.keyDigests), [[digestKey(third)]]);
        await run(mesh, "team", "delete", "red");
        await allRespond(mesh, third, 401);
        await allRespond(mesh, undefined, 401);
    });
});

test("teams: explain shows the team, the fingerprint and the effective priority, or why the key grants no access", async () => {
    await withMesh(async mesh => {
        const key = newKeyOf(await run(mesh, "team", "create", "red", "--priority", "urgent", "--region", "here"));
        await allRespond(mesh, key, 200);
        const explain = (...args: string[]): Promise<string> =>
            run(mesh, "explain", "GET", "http://h/pages/1", ...args);
        for (const args of [["--team", "red"], ["--key", key]]) {
            const text = await explain(...args);
            assert.match(text, /^class +urgent$/m);
            assert.match(text, /^tenant +red$/m);
            assert.match(text, /^access +granted/m);
            assert.match(text, /^regions +here$/m);
            assert.doesNotMatch(text, new RegExp(key));
        }
        assert.match(await explain("--key", key), new RegExp(`granted \\(key ${fingerprintOf(digestKey(key))}\\)`));
        assert.match(await explain(), /^access +missing-key$/m);
        assert.match(await explain("--key", "other"), /^access +unknown-key/m);
        assert.match(await explain("--team", "blue"), /^access +unknown-team$/m);
    });
});

// Guards against calls that are refused below the first level, where the context alone shows that they are calls.
test("teams: calls six levels deep need no key, in contexts that only the upstreams know", async () => {
    await withMesh(
        async mesh => {
            const key = newKeyOf(await run(mesh, "team", "create", "red"));
            for (const { name, ingress, upstream } of mesh.hosts) {
                const level = Number(/^level(\d)/.exec(name)![1]);
                await control(upstream, { next: level === 6 ? "" : `${ingress}/chain/level${level + 1}` });
            }
            await allRespond(mesh, undefined, 401, "/chain/level1");
            await allRespond(mesh, key, 200, "/chain/level1");
            await allRespond(mesh, undefined, 401, "/chain/level6");
        },
        {},
        chainMesh,
    );
});
