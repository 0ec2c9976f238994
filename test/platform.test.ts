import assert from "node:assert/strict";
import { test } from "node:test";
import { OperatorClient } from "../src/cli/operatorclient.js";
import { allServe } from "./allserve.js";
import { eventually } from "./eventually.js";
import { pause } from "./pause.js";
import { platformConfiguration } from "./platformconfiguration.js";
import type { PlatformResponse } from "./platformresponse.js";
import { withPlatform } from "./withplatform.js";

const addedRule = { name: "added", host: "site.example", pathPrefix: "/added/", kind: "repeatable", service: "pages" };

const isFromFirstInstance = (response: PlatformResponse): boolean =>
    response.headers["server-signature"] === "of-i-pages-1";

test("platform: a request keeps its id and path, and carries the service of its host", async () => {
    await withPlatform(async mesh => {
        const response = await mesh.send("fees-1", "GET", "/pages/a?b=c", "id-1");
        assert.equal(response.status, 200);
        const { id, host, caller, url } = JSON.parse(response.text) as Record<string, string>;
        assert.deepEqual({ id, host, caller, url }, {
            id: "id-1",
            host: "site.example",
            caller: "fees",
            url: "/pages/a?b=c",
        });
        assert.ok(response.headers["server-signature"]!.startsWith("of-i-pages"));
        assert.equal((await mesh.send("fees-1", "GET", "/nowhere/", "id-2")).status, 404);
    });
});

test("platform: a configuration comes into force at every daemon, also at one that the store refuses", async () => {
    await withPlatform(async mesh => {
        await mesh.controlStore({ refuse: 503, from: [mesh.host("pages-1").ip] });
        await mesh.configure(platformConfiguration(5, [addedRule]));
        await eventually(
            "the rule is in force at the other daemons",
            () => allServe(mesh, "/added/1", ["pages-2", "fees-1"]),
            2000,
        );
        await eventually("the rule is in force at all daemons", () => allServe(mesh, "/added/1"), 6000);
        await mesh.configure(platformConfiguration(4));
        await pause(500);
        assert.equal(await allServe(mesh, "/added/1"), true, "an older configuration is not applied");
        await mesh.configure({ revision: 9, rules: "none" });
        await pause(500);
        assert.equal(await allServe(mesh, "/added/1"), true, "an unreadable configuration is not applied");
    });
});

test("platform: a change comes into force also after the store has discarded its history", async () => {
    await withPlatform(async mesh => {
        await mesh.controlStore({ forget: true });
        await mesh.configure(platformConfiguration(5, [addedRule]));
        await mesh.controlStore({ forget: true });
        await eventually("the rule is in force", () => allServe(mesh, "/added/1"), 2000);
    });
});

test("platform: an unresponsive store interrupts no requests, and is watched again once it responds", async () => {
    await withPlatform(async mesh => {
        await mesh.controlStore({ silent: true });
        await pause(4000);
        assert.equal(await allServe(mesh, "/pages/1"), true);
        await mesh.controlStore({ silent: false });
        await pause(3000);
        await mesh.configure(platformConfiguration(5, [addedRule]));
        await eventually("the rule is in force", () => allServe(mesh, "/added/1"), 2000);
    });
});

test("platform: revoked leases interrupt no requests, and the records are registered again", async () => {
    await withPlatform(async mesh => {
        await mesh.controlStore({ revoke: true });
        await pause(200);
        assert.equal(await allServe(mesh, "/pages/1"), true);
        await pause(3500);
        assert.equal(await allServe(mesh, "/pages/1"), true);
    });
});

test("platform: a daemon that starts while the store is down learns the configuration and the members from its peers", async () => {
    await withPlatform(async mesh => {
        await mesh.controlStore({ refuse: 503 });
        await mesh.daemons.get("fees-1")!.end("SIGKILL");
        await mesh.startDaemon("fees-1").ready();
        await eventually("the restarted daemon is ready", () => mesh.isReady("fees-1"), 6000);
        await eventually("the restarted daemon serves", () => allServe(mesh, "/pages/1", ["fees-1"]), 3000);
    });
});

test("platform: the operator's status lists the announced instances and the daemons that watch the store", async () => {
    await withPlatform(async mesh => {
        const client = new OperatorClient([`${mesh.host("fees-1").ip}:7105`]);
        const { upstreams } = await client.call(operator => operator.getStatus({}));
        assert.deepEqual(upstreams.map(line => line.upstream).sort(), mesh.hosts.map(host => `i-${host.name}`).sort());
        assert.ok(upstreams.every(line => line.state === "up" && line.members === mesh.hosts.length));
        await eventually("both daemons of each hall watch the store", async () => {
            const status = await client.call(operator => operator.getStatus({}));
            return status.upstreams.every(line => line.watchesStore);
        }, 6000);
    });
});

test("platform: a draining instance receives no new requests once its daemon has acknowledged the state", async () => {
    await withPlatform(async mesh => {
        await mesh.controlInstance("pages-1", { state: "draining" });
        const lineCountBefore = mesh.instanceLines.length;
        for (let index = 0; index < 20; index++) {
            const response = await mesh.send("pages-1", "GET", "/pages/1", `drain-${index}`);
            assert.equal(response.headers["server-signature"], "of-i-pages-2");
        }
        assert.equal(mesh.instanceLines.length - lineCountBefore, 20);
    });
});

test("platform: a request that may run only once runs once, whatever fault its response has", async () => {
    await withPlatform(async mesh => {
        for (const fault of ["lost", "foreign", "short", "unframed-reset"] as const) {
            await Promise.all(["fees-1", "fees-2"].map(name => mesh.controlInstance(name, { fault })));
            const response = await mesh.send("pages-1", "POST", "/fees/1", `once-${fault}`);
            assert.equal(response.status, 502, fault);
            assert.equal(mesh.runsOf(`once-${fault}`), 1, fault);
        }
    });
});

test("platform: a response that ends with its connection is forwarded that way, and looks no more complete than it was", async () => {
    await withPlatform(async mesh => {
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.controlInstance(name, { fault: "unframed-end" })));
        for (const name of ["pages-1", "fees-1"]) {
            const { status, headers } = await mesh.send(name, "GET", "/pages/1", `unframed-${name}`);
            assert.equal(status, 200);
            assert.equal(headers["content-length"] ?? headers["transfer-encoding"], undefined);
            assert.equal(headers["connection"], "close");
        }
    });
});

test("platform: SIGHUP reloads the settings, invalid settings change nothing, and no request is lost", async () => {
    await withPlatform(async mesh => {
        const daemon = mesh.daemons.get("pages-1")!;
        mesh.changeSettings("pages-1", { log: { level: "info", linesPerSecond: 400 }, seeds: ["127.0.0.1:9"] });
        daemon.signal("SIGHUP");
        await eventually(
            "the daemon logs the reload",
            async () =>
                mesh.log.some(line => line.includes("has been reloaded") && line.includes("\"inForce\":[\"log\"]")),
            2000,
        );
        mesh.changeSettings("pages-1", { peer: "nowhere" });
        daemon.signal("SIGHUP");
        await eventually(
            "the daemon logs that the old settings stay",
            async () => mesh.log.some(line => line.includes("the settings in force stay")),
            2000,
        );
        assert.equal(daemon.running, true);
        assert.equal(await allServe(mesh, "/pages/1"), true);
    });
});

test("platform: a restarted daemon finds its instance before the instance announces itself", async () => {
    await withPlatform(async mesh => {
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.controlInstance(name, { silent: true })));
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.daemons.get(name)!.end("SIGKILL")));
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.startDaemon(name).ready()));
        await eventually("the restarted daemons serve", () => allServe(mesh, "/pages/1"), 1500);
        await mesh.controlInstance("pages-1", { silent: false, state: "left" });
        await pause(100);
        const response = await mesh.send("pages-1", "GET", "/pages/1", "after-leave");
        assert.equal(response.headers["server-signature"], "of-i-pages-2");
    });
});

test("platform: a slow instance receives no requests while a fast one has free slots", async () => {
    await withPlatform(async mesh => {
        await mesh.controlInstance("pages-1", { pace: 400 });
        await mesh.send("pages-1", "GET", "/pages/1", "learn");
        await pause(50);
        const responses = await Promise.all(
            Array.from({ length: 3 }, (_, index) => mesh.send("pages-1", "GET", "/pages/1", `slow-${index}`)),
        );
        assert.deepEqual(
            responses.map(response => response.headers["server-signature"]),
            Array(3).fill("of-i-pages-2"),
        );
    });
});

test("platform: the instance of a stopping daemon serves requests until callers use another instance", async () => {
    await withPlatform(async mesh => {
        await mesh.controlInstance("pages-2", { state: "left" });
        const sendAll = (prefix: string): Promise<PlatformResponse[]> =>
            Promise.all(
                Array.from({ length: 5 }, (_, index) => mesh.send("fees-1", "GET", "/pages/1", `${prefix}-${index}`)),
            );
        await eventually(
            "the other instance receives no requests",
            async () => (await sendAll("gone")).every(isFromFirstInstance),
        );
        const exitCode = mesh.daemons.get("pages-1")!.end("SIGTERM");
        await pause(500);
        const responses = await sendAll("late");
        assert.deepEqual(responses.map(response => response.status), Array(5).fill(200));
        assert.equal(await mesh.isReady("pages-1"), false);
        assert.equal(await exitCode, 0);
    });
});
