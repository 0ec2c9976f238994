import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import type { Mesh } from "../demo/mesh.js";
import { digestKey } from "../src/config/digestkey.js";
import { headerName } from "../src/dialect/headername.js";
import { eventually } from "./eventually.js";
import { pause } from "./pause.js";
import { readRevisions } from "./readrevisions.js";
import { withMesh } from "./withmesh.js";

const MS_PER_SECOND = 1000;
const WINDOW_S = 5;
/** The defaults of policy.quota. */
const OVERAGE = 0.1;
const SLACK = 20;
const RATE = 20;
const KEY = "the-key-of-the-readers";
const LOW_RATE = 4;
/** Requests per second at each of the six daemons: three times the limit in all. */
const LOAD_PER_DAEMON = 10;
/** Time until a daemon that has started leases its share and the buckets have tokens. */
const SETTLE_MS = 6000;

type Response = { readonly at: number; readonly status: number; readonly retryAfter: string | undefined; };

/** Writes the document of the mesh, with a limit of the team that has the key. */
const writeLimit = async (mesh: Mesh, revision: number, ratePerSecond: number): Promise<void> => {
    const url = `http://${mesh.storeAddress}/v1/kv/winglock`;
    const { value, version } = await (await request(url)).body.json() as { value: string; version: number; };
    const teams = [{ name: "readers", keyDigests: [digestKey(KEY)], ratePerSecond, burst: ratePerSecond }];
    const body = JSON.stringify({ ...JSON.parse(value) as object, revision, teams });
    const { statusCode } = await request(`${url}?version=${version}`, { method: "PUT", body });
    assert.ok(statusCode < 300, `the store responded with ${statusCode}`);
    await eventually(
        "all daemons have the limit",
        async () => [...(await readRevisions(mesh)).values()].every(known => known === revision),
    );
};

/** Sends requests of the team at each of the given ingresses, and returns their responses. */
const runTeam = async (ingresses: readonly string[], perSecond: number, durationMs: number): Promise<Response[]> => {
    const responses: Response[] = [];
    const sent: Promise<void>[] = [];
    const send = async (ingress: string): Promise<void> => {
        try {
            const { statusCode: status, headers, body } = await request(`http://${ingress}/pages/1`, {
                headers: { [headerName.callerKey]: KEY },
            });
            await body.dump();
            responses.push({ at: performance.now(), status, retryAfter: headers["retry-after"] as string | undefined });
        }
        catch {
            // The daemon was killed.
        }
    };
    const end = performance.now() + durationMs;
    while (performance.now() < end) {
        sent.push(...ingresses.map(send));
        await pause(MS_PER_SECOND / perSecond);
    }
    await Promise.all(sent);
    return responses;
};

/** Returns the largest number of requests that were served in any window. */
const worstWindow = (responses: readonly Response[]): number => {
    const served = responses.filter(({ status }) => status === 200).map(({ at }) => at).sort((a, b) => a - b);
    const inWindow = (from: number): number =>
        served.filter(at => at >= from && at < from + WINDOW_S * MS_PER_SECOND).length;
    return Math.max(0, ...served.map(inWindow));
};

const bound = (rate: number): number => (rate * WINDOW_S + rate) * (1 + OVERAGE) + SLACK;

const ingressesOf = (mesh: Mesh): string[] => mesh.hosts.map(({ ingress }) => ingress);

// Guards against counting at each daemon alone: six daemons would let through six times the limit.
test("quota: a team over its limit gets 429 with a time to return, and the rest of its requests are served", async () => {
    await withMesh(async mesh => {
        await writeLimit(mesh, 2, RATE);
        await pause(SETTLE_MS);
        const responses = await runTeam(ingressesOf(mesh), LOAD_PER_DAEMON, 8000);
        const refused = responses.filter(({ status }) => status === 429);
        assert.ok(worstWindow(responses) <= bound(RATE), `${worstWindow(responses)} in 5 s`);
        assert.ok(worstWindow(responses) >= RATE * WINDOW_S * 0.8, `${worstWindow(responses)} in 5 s`);
        assert.ok(refused.length > 0 && refused.every(({ retryAfter }) => retryAfter !== undefined));
        const { stdout } = await mesh.cli("status");
        assert.match(stdout, /readers +20 +20 +127\.\d+\.\d+\.\d+:\d+ +[1-9]\d* +\d+/);
        assert.equal(responses.length, responses.filter(({ status }) => status === 200 || status === 429).length);
    });
});

// Guards against refusing a team below its limit because its counter has crashed or daemons are cut off.
test("quota: a team below its limit is served while daemons crash, and the bound holds", async () => {
    await withMesh(async mesh => {
        await writeLimit(mesh, 2, RATE);
        await pause(SETTLE_MS);
        const [first, ...others] = mesh.hosts;
        const load = runTeam(others.map(({ ingress }) => ingress), RATE / 1.6 / others.length, 12_000);
        await pause(3000);
        await mesh.daemons.get(first!.name)!.end("SIGKILL");
        await pause(3000);
        const restarted = mesh.startDaemon(first!);
        await restarted.ready();
        const responses = await load;
        const refused = responses.filter(({ status }) => status === 429 || status === 503);
        const served = responses.filter(({ status }) => status === 200);
        assert.ok(served.length >= responses.length * 0.9, `${served.length} of ${responses.length} served`);
        assert.ok(refused.length <= responses.length * 0.02, `${refused.length} of ${responses.length} refused`);
        assert.ok(worstWindow(responses) <= bound(RATE));
    });
});

// Guards against a limit that each side of a partition uses in full.
test("quota: daemons that are cut off from each other keep the bound together", async () => {
    await withMesh(async mesh => {
        await writeLimit(mesh, 2, RATE);
        await pause(SETTLE_MS);
        const load = runTeam(ingressesOf(mesh), LOAD_PER_DAEMON, 14_000);
        await pause(2000);
        const side = mesh.hosts.filter(({ place }) => place === 1).map(({ peerProxy }) => peerProxy);
        const rest = mesh.hosts.filter(({ place }) => place !== 1).map(({ peerProxy }) => peerProxy);
        await mesh.setFaults([
            { links: side, from: [2, 3], cut: true },
            { links: [...rest, mesh.storeProxy], from: [1], cut: true },
        ]);
        await pause(7000);
        await mesh.setFaults([]);
        const responses = await load;
        assert.ok(worstWindow(responses) <= bound(RATE), `${worstWindow(responses)} in 5 s`);
    });
});

// Guards against buckets that keep the tokens of the former limit.
test("quota: a lowered limit is in force within a window", async () => {
    await withMesh(async mesh => {
        await writeLimit(mesh, 2, RATE);
        await pause(SETTLE_MS);
        const load = runTeam(ingressesOf(mesh), LOAD_PER_DAEMON, 14_000);
        await pause(2000);
        await writeLimit(mesh, 3, LOW_RATE);
        const from = performance.now() + WINDOW_S * MS_PER_SECOND;
        const after = (await load).filter(({ at }) => at >= from);
        assert.ok(worstWindow(after) <= bound(LOW_RATE), `${worstWindow(after)} in 5 s`);
        assert.ok(worstWindow(after) > 0);
    });
});
