import assert from "node:assert/strict";
import { test } from "node:test";
import { OperatorClient } from "../src/cli/operatorclient.js";
import { eventually } from "./eventually.js";
import { pause } from "./pause.js";
import type { PlatformMesh } from "./platformmesh.js";
import type { PlatformResponse } from "./platformresponse.js";
import { rejectedDocument } from "./rejecteddocument.js";
import { teamsConfiguration } from "./teamsconfiguration.js";
import { withPlatform } from "./withplatform.js";

const RED = "red-key-2f8a1c";
const RED_NEW = "red-key-77d0be";
const BLUE = "blue-key-9e4411";
const UNKNOWN = "unknown-key-5b3c";
const SCRAMBLED = "scrambled-key-8d2e";
/** The bound of a configuration change at daemons that are in contact. */
const CHANGE_MS = 2500;
/** Longer than daemons buffer log lines. */
const LOG_FLUSH_MS = 300;

const red = { name: "red", apiKeys: [RED], priority: 0 };
const blue = { name: "blue", apiKeys: [BLUE], priority: 2 };

const FORGED: readonly Readonly<Record<string, string>>[] = [
    {},
    { tenant: "blue" },
    { "Tenant": "", "caller-service": "fees" },
];

let requestCount = 0;

const send = (
    mesh: PlatformMesh,
    name: string,
    key: string | undefined,
    path = "/pages/1",
    headers: Readonly<Record<string, string>> = {},
    id = `k-${requestCount++}`,
): Promise<PlatformResponse> =>
    mesh.send(name, "GET", path, id, 1000, { ...headers, ...key !== undefined && { "x-api-key": key } });

const statuses = (mesh: PlatformMesh, key: string | undefined, path?: string): Promise<number[]> =>
    Promise.all(mesh.hosts.map(async ({ name }) => (await send(mesh, name, key, path)).status));

const allAnswer = async (mesh: PlatformMesh, key: string | undefined, status: number): Promise<boolean> =>
    (await statuses(mesh, key)).every(other => other === status);

const configureTeams = async (mesh: PlatformMesh, revision: number, tenants: object[]): Promise<void> => {
    await mesh.configure(teamsConfiguration(revision, tenants));
    await eventually("keys are checked everywhere", () => allAnswer(mesh, UNKNOWN, 401), CHANGE_MS);
};

const bodyOf = (response: PlatformResponse): Record<string, unknown> =>
    JSON.parse(response.text) as Record<string, unknown>;

// Guards against access without a key, and against a key that reaches an upstream (K1, K2).
test("keys: only a team's key grants access, and the upstream receives the team instead of the key", async () => {
    await withPlatform(async mesh => {
        await configureTeams(mesh, 5, [red, blue]);
        for (const { name } of mesh.hosts) {
            for (const forged of FORGED) {
                const response = await send(mesh, name, RED, "/pages/1", forged);
                assert.equal(response.status, 200);
                const { team, hasKey } = bodyOf(response);
                assert.deepEqual({ team, hasKey }, { team: "red", hasKey: false });
            }
            const refused = await send(mesh, name, undefined, "/pages/1", { tenant: "red", "winglock-context": "x" });
            assert.equal(refused.status, 401);
            assert.equal(refused.headers["winglock-outcome"], "not-run");
            assert.ok(refused.headers["www-authenticate"]);
        }
        const anonymous = await send(mesh, "pages-1", undefined, "/open/1", { tenant: "red" });
        assert.deepEqual([anonymous.status, bodyOf(anonymous)["team"]], [200, undefined]);
        assert.equal((await send(mesh, "pages-1", UNKNOWN, "/open/1")).status, 401);
        const twice = { "x-api-key": [RED, RED] } as unknown as Record<string, string>;
        assert.equal((await send(mesh, "pages-1", undefined, "/pages/1", twice)).status, 401, "two key fields");
        assert.equal((await send(mesh, "pages-1", RED, "/nowhere/1")).status, 404);
        const metrics = await mesh.operatorPage("pages-1", "/metrics");
        assert.match(metrics, /winglock_access_refused_total\{reason="missing-key"\} 1/);
        assert.match(metrics, /winglock_access_refused_total\{reason="unknown-key"\} [1-9]/);
    });
});

// Guards against a key that is refused or accepted for longer than a configuration change takes (K4).
test("keys: added and removed keys come into force everywhere, and both keys are valid during a rotation", async () => {
    await withPlatform(async mesh => {
        await configureTeams(mesh, 5, [red, blue]);
        await mesh.configure(teamsConfiguration(6, [{ ...red, apiKeys: [RED, RED_NEW] }, blue]));
        await eventually("the new key is accepted", () => allAnswer(mesh, RED_NEW, 200), CHANGE_MS);
        assert.equal(await allAnswer(mesh, RED, 200), true);
        await mesh.configure(teamsConfiguration(7, [{ ...red, apiKeys: [RED_NEW] }, blue]));
        await eventually("the old key is refused", () => allAnswer(mesh, RED, 401), CHANGE_MS);
        assert.equal(await allAnswer(mesh, RED_NEW, 200), true);
        await mesh.configure(teamsConfiguration(8, [red, blue]));
        await eventually("the first key is accepted again", () => allAnswer(mesh, RED, 200), CHANGE_MS);
    });
});

// Guards against access by a guessed or remembered id, and against calls that are refused (K3).
test("keys: a call without a key is accepted only during its run, and states no team", async () => {
    await withPlatform(async mesh => {
        await configureTeams(mesh, 5, [red, blue]);
        const { ip } = mesh.host("pages-1");
        await mesh.controlInstance("pages-2", { state: "left" });
        await mesh.controlInstance("pages-1", { workMs: 300, callUrl: `http://${ip}:7104/fees/1` });
        const running = send(mesh, "fees-1", RED, "/pages/1", {}, "run-7");
        await pause(100);
        const during = await send(mesh, "pages-1", undefined, "/fees/1", { tenant: "red" }, "run-7.9");
        assert.deepEqual([during.status, bodyOf(during)["team"]], [200, undefined]);
        assert.equal((await send(mesh, "fees-1", undefined, "/fees/1", {}, "run-7.8")).status, 401, "another host");
        assert.equal((await send(mesh, "pages-1", undefined, "/fees/1", {}, "run-6.1")).status, 401, "another id");
        const keyed = await send(mesh, "pages-1", UNKNOWN, "/fees/1", {}, "run-7.7");
        assert.equal(keyed.status, 401, "an unknown key in what looks like a call");
        const response = await running;
        assert.equal(response.status, 200);
        assert.equal(bodyOf(response)["callStatus"], 200);
        assert.equal((await send(mesh, "pages-1", undefined, "/fees/1", {}, "run-7.9")).status, 401, "after the run");
    });
});

// Guards against keys that stop working, or that are not checked, while a part of the mesh is down.
test("keys: a restarted daemon and one that is cut off from the store check keys with the last document", async () => {
    await withPlatform(async mesh => {
        await configureTeams(mesh, 5, [red, blue]);
        await mesh.controlStore({ refuse: 503 });
        await mesh.daemons.get("fees-1")!.end("SIGKILL");
        await mesh.startDaemon("fees-1").ready();
        await eventually("the restarted daemon accepts a key", async () => {
            const { status } = await send(mesh, "fees-1", RED);
            assert.ok([200, 503].includes(status), `a daemon without a configuration responds with 503, not ${status}`);
            return status === 200;
        }, 8000);
        assert.equal(await allAnswer(mesh, UNKNOWN, 401), true);
        assert.equal(await allAnswer(mesh, BLUE, 200), true);
    });
});

// Guards against a document in which a key would grant the access of two teams (K6).
test("keys: a document in which two teams have one key is rejected as a whole, and the log names field and teams", async () => {
    await withPlatform(async mesh => {
        await configureTeams(mesh, 5, [red, blue]);
        await mesh.configure(teamsConfiguration(6, [red, { ...blue, apiKeys: [BLUE, RED] }, { name: "green" }]));
        await eventually(
            "the rejection is logged",
            async () => mesh.log.some(line => line.includes("teams.1.keyDigests.1") && line.includes("red and blue")),
            CHANGE_MS,
        );
        assert.equal(await allAnswer(mesh, BLUE, 200), true);
        assert.equal(await allAnswer(mesh, UNKNOWN, 401), true);
        await mesh.configure(teamsConfiguration(7, [red]));
        await eventually("the next valid document is in force", () => allAnswer(mesh, BLUE, 401), CHANGE_MS);
    });
});

/** Removes a key while a daemon is paused for longer than the limit, and sends it requests with the key. */
const checkResumedDaemon = async (mesh: PlatformMesh): Promise<void> => {
    const daemon = mesh.daemons.get("pages-1")!;
    daemon.signal("SIGSTOP");
    try {
        await pause(500);
        await mesh.configure(teamsConfiguration(6, [blue]));
        await pause(3000);
        const waiting = Array.from({ length: 5 }, () => send(mesh, "pages-1", RED));
        await pause(100);
        daemon.signal("SIGCONT");
        for (const { status } of await Promise.all(waiting)) {
            assert.ok(
                [401, 503].includes(status),
                `a resumed daemon refuses a removed key, but it responded ${status}`,
            );
        }
    }
    finally {
        daemon.signal("SIGCONT");
    }
    await eventually("the removed key is refused everywhere", () => allAnswer(mesh, RED, 401), 5000);
    await eventually("the other key is accepted everywhere", () => allAnswer(mesh, BLUE, 200), 5000);
};

// Guards against keys that are accepted long after their removal by a daemon that learns of nothing (K4).
test("keys: under strict revocation keyed requests are refused while the store confirms nothing", async () => {
    await withPlatform(async mesh => {
        await configureTeams(mesh, 5, [red, blue]);
        const overrides = { policy: { profile: "frugal", relief: false, keys: { maxConfigurationAgeMs: 3000 } } };
        for (const { name } of mesh.hosts) {
            await mesh.daemons.get(name)!.end("SIGKILL");
            await mesh.startDaemon(name, overrides).ready();
        }
        await eventually("keys are accepted everywhere", () => allAnswer(mesh, RED, 200));
        for (let round = 0; round < 20; round++) {
            assert.equal(await allAnswer(mesh, RED, 200), true, "the configuration is confirmed often enough");
            await pause(200);
        }
        await mesh.controlStore({ silent: true });
        await pause(3000);
        const refused = await send(mesh, "pages-1", RED);
        assert.equal(refused.status, 503);
        assert.ok(Number(refused.headers["retry-after"]) > 0);
        assert.equal(await allAnswer(mesh, RED, 503), true);
        assert.deepEqual(await statuses(mesh, undefined, "/open/1"), mesh.hosts.map(() => 200));
        await mesh.controlStore({ silent: false });
        await eventually("keys are accepted again", () => allAnswer(mesh, RED, 200), 10_000);
        await checkResumedDaemon(mesh);
    });
});

// Guards against keys that operators or other daemons can read (K5).
test("keys: no key is in the logs, metrics, status, configuration or problems of the daemons", async () => {
    await withPlatform(async mesh => {
        await configureTeams(mesh, 5, [red, blue]);
        const responses = await Promise.all(
            [RED, UNKNOWN, "x".repeat(300)].flatMap(key => mesh.hosts.map(({ name }) => send(mesh, name, key))),
        );
        await mesh.configure(teamsConfiguration(6, [{ ...red, apiKeys: [RED_NEW] }, blue]));
        await eventually("a key is removed", () => allAnswer(mesh, RED, 401), CHANGE_MS);
        const malformed = [
            { red: { apiKeys: [SCRAMBLED] } },
            [SCRAMBLED],
            [{ name: `${SCRAMBLED}\n`, apiKeys: [SCRAMBLED] }],
            [{ name: "red", apiKeys: { first: SCRAMBLED } }],
        ];
        for (const tenants of malformed) {
            await rejectedDocument(mesh, () => mesh.configure(teamsConfiguration(9, tenants)));
        }
        await rejectedDocument(
            mesh,
            () => mesh.putAsOperator("op/config", `{"tenants":[{"apiKeys":["${SCRAMBLED}"]}] x`),
        );
        await rejectedDocument(mesh, () => mesh.putAsOperator("op/config", SCRAMBLED));
        await pause(CHANGE_MS);
        assert.equal(await allAnswer(mesh, RED_NEW, 200), true);
        assert.ok(mesh.log.filter(line => line.includes("The stored configuration is invalid")).length >= 6);
        const texts = [...mesh.log, ...mesh.instanceLines, ...responses.map(({ text }) => text)];
        for (const { name, ip } of mesh.hosts) {
            const client = new OperatorClient([`${ip}:7105`]);
            texts.push(await mesh.operatorPage(name, "/metrics"));
            const toText = (value: unknown): string =>
                JSON.stringify(value, (_, field: unknown) => typeof field === "bigint" ? String(field) : field);
            texts.push(toText(await client.call(operator => operator.getStatus({}))));
            texts.push(toText(await client.call(operator => operator.getConfiguration({}))));
        }
        await pause(LOG_FLUSH_MS);
        for (const key of [RED, RED_NEW, BLUE, UNKNOWN, SCRAMBLED, "scrambled"]) {
            assert.deepEqual(texts.filter(text => text.includes(key)).slice(0, 3), [], key);
        }
        assert.ok(mesh.log.some(line => line.includes("unknown-key")), "refusals are logged");
    });
});
