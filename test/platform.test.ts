import assert from "node:assert/strict";
import { test } from "node:test";
import { OperatorClient } from "../src/cli/operatorclient.js";
import { allServe } from "./allserve.js";
import { eventually } from "./eventually.js";
import { pause } from "./pause.js";
import { platformConfiguration } from "./platformconfiguration.js";
import type { PlatformTold } from "./platformtold.js";
import { withPlatform } from "./withplatform.js";

const added = { name: "added", host: "site.example", pathPrefix: "/added/", kind: "repeatable", service: "pages" };

const isFromFirst = (told: PlatformTold): boolean => told.headers["server-signature"] === "of-i-pages-1";

test("platform: a request keeps its id and path, and carries the service of its host", async () => {
    await withPlatform(async mesh => {
        const told = await mesh.send("fees-1", "GET", "/pages/a?b=c", "id-1");
        assert.equal(told.status, 200);
        const { id, host, caller, url } = JSON.parse(told.text) as Record<string, string>;
        assert.deepEqual({ id, host, caller, url }, {
            id: "id-1",
            host: "site.example",
            caller: "fees",
            url: "/pages/a?b=c",
        });
        assert.ok(told.headers["server-signature"]!.startsWith("of-i-pages"));
        assert.equal((await mesh.send("fees-1", "GET", "/nowhere/", "id-2")).status, 404);
    });
});

test("platform: a configuration is in force everywhere, also at a daemon that the store turns away", async () => {
    await withPlatform(async mesh => {
        await mesh.strikeStore({ refuse: 503, from: [mesh.host("pages-1").ip] });
        await mesh.configure(platformConfiguration(5, [added]));
        await eventually(
            "the rule serves at the others",
            () => allServe(mesh, "/added/1", ["pages-2", "fees-1"]),
            2000,
        );
        await eventually("the rule serves everywhere", () => allServe(mesh, "/added/1"), 6000);
        await mesh.configure(platformConfiguration(4));
        await pause(500);
        assert.equal(await allServe(mesh, "/added/1"), true, "an older one is not taken");
        await mesh.configure({ revision: 9, rules: "none" });
        await pause(500);
        assert.equal(await allServe(mesh, "/added/1"), true, "one that can't be read is not taken");
    });
});

test("platform: after the store forgets its history, changes are still in force", async () => {
    await withPlatform(async mesh => {
        await mesh.strikeStore({ forget: true });
        await mesh.configure(platformConfiguration(5, [added]));
        await mesh.strikeStore({ forget: true });
        await eventually("the rule serves", () => allServe(mesh, "/added/1"), 2000);
    });
});

test("platform: a silent store stops nothing, and is watched anew when it speaks again", async () => {
    await withPlatform(async mesh => {
        await mesh.strikeStore({ silent: true });
        await pause(4000);
        assert.equal(await allServe(mesh, "/pages/1"), true);
        await mesh.strikeStore({ silent: false });
        await pause(3000);
        await mesh.configure(platformConfiguration(5, [added]));
        await eventually("the rule serves", () => allServe(mesh, "/added/1"), 2000);
    });
});

test("platform: leases that are revoked change nothing, and the records come back", async () => {
    await withPlatform(async mesh => {
        await mesh.strikeStore({ revoke: true });
        await pause(200);
        assert.equal(await allServe(mesh, "/pages/1"), true);
        await pause(3500);
        assert.equal(await allServe(mesh, "/pages/1"), true);
    });
});

test("platform: a daemon that starts while the store is down learns all from its peers", async () => {
    await withPlatform(async mesh => {
        await mesh.strikeStore({ refuse: 503 });
        await mesh.daemons.get("fees-1")!.end("SIGKILL");
        await mesh.startDaemon("fees-1").ready();
        await eventually("it is ready", () => mesh.isReady("fees-1"), 6000);
        await eventually("it serves", () => allServe(mesh, "/pages/1", ["fees-1"]), 3000);
    });
});

test("platform: an operator's status has the instances that announce themselves, and who watches the store", async () => {
    await withPlatform(async mesh => {
        const client = new OperatorClient([`${mesh.host("fees-1").ip}:7105`]);
        const { upstreams } = await client.call(operator => operator.getStatus({}));
        assert.deepEqual(upstreams.map(line => line.upstream).sort(), mesh.hosts.map(host => `i-${host.name}`).sort());
        assert.ok(upstreams.every(line => line.state === "up" && line.members === mesh.hosts.length));
        await eventually("two of each hall of two watch", async () => {
            const now = await client.call(operator => operator.getStatus({}));
            return now.upstreams.every(line => line.watchesStore);
        }, 6000);
    });
});

test("platform: an instance that drains gets no new work once it is told so", async () => {
    await withPlatform(async mesh => {
        await mesh.strikeInstance("pages-1", { state: "draining" });
        const before = mesh.runs.length;
        for (let at = 0; at < 20; at++) {
            const told = await mesh.send("pages-1", "GET", "/pages/1", `drain-${at}`);
            assert.equal(told.headers["server-signature"], "of-i-pages-2");
        }
        assert.equal(mesh.runs.length - before, 20);
    });
});

test("platform: what may run once runs once, whatever the instance does to the answer", async () => {
    await withPlatform(async mesh => {
        for (const fault of ["lost", "foreign", "short", "unframed-reset"] as const) {
            await Promise.all(["fees-1", "fees-2"].map(name => mesh.strikeInstance(name, { fault })));
            const told = await mesh.send("pages-1", "POST", "/fees/1", `once-${fault}`);
            assert.equal(told.status, 502, fault);
            assert.equal(mesh.runsOf(`once-${fault}`), 1, fault);
        }
    });
});

test("platform: an answer that ends with its connection goes on so, and looks no more complete than it was", async () => {
    await withPlatform(async mesh => {
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.strikeInstance(name, { fault: "unframed-end" })));
        for (const name of ["pages-1", "fees-1"]) {
            const { status, headers } = await mesh.send(name, "GET", "/pages/1", `unframed-${name}`);
            assert.equal(status, 200);
            assert.equal(headers["content-length"] ?? headers["transfer-encoding"], undefined);
            assert.equal(headers["connection"], "close");
        }
    });
});

test("platform: changed settings are read at a signal, bad ones change nothing, and no request is lost", async () => {
    await withPlatform(async mesh => {
        const daemon = mesh.daemons.get("pages-1")!;
        mesh.changeSettings("pages-1", { log: { level: "info", linesPerSecond: 400 }, seeds: ["127.0.0.1:9"] });
        daemon.signal("SIGHUP");
        await eventually(
            "it says so",
            async () =>
                mesh.log.some(line => line.includes("has been reloaded") && line.includes("\"inForce\":[\"log\"]")),
            2000,
        );
        mesh.changeSettings("pages-1", { peer: "nowhere" });
        daemon.signal("SIGHUP");
        await eventually(
            "it says so",
            async () => mesh.log.some(line => line.includes("the settings in force stay")),
            2000,
        );
        assert.equal(daemon.running, true);
        assert.equal(await allServe(mesh, "/pages/1"), true);
    });
});

test("platform: a daemon that is started anew finds its instance before that announces itself", async () => {
    await withPlatform(async mesh => {
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.strikeInstance(name, { silent: true })));
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.daemons.get(name)!.end("SIGKILL")));
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.startDaemon(name).ready()));
        await eventually("it serves", () => allServe(mesh, "/pages/1"), 1500);
        await mesh.strikeInstance("pages-1", { silent: false, state: "left" });
        await pause(100);
        const told = await mesh.send("pages-1", "GET", "/pages/1", "after-leave");
        assert.equal(told.headers["server-signature"], "of-i-pages-2");
    });
});

test("platform: a slow instance is passed by while another is quick", async () => {
    await withPlatform(async mesh => {
        await mesh.strikeInstance("pages-1", { pace: 400 });
        await mesh.send("pages-1", "GET", "/pages/1", "learn");
        await pause(50);
        const told = await Promise.all(
            Array.from({ length: 3 }, (_, at) => mesh.send("pages-1", "GET", "/pages/1", `slow-${at}`)),
        );
        assert.deepEqual(told.map(item => item.headers["server-signature"]), Array(3).fill("of-i-pages-2"));
    });
});

test("platform: the instance beside a stopping daemon serves on until callers are elsewhere", async () => {
    await withPlatform(async mesh => {
        await mesh.strikeInstance("pages-2", { state: "left" });
        const sendAll = (prefix: string): Promise<PlatformTold[]> =>
            Promise.all(
                Array.from({ length: 5 }, (_, at) => mesh.send("fees-1", "GET", "/pages/1", `${prefix}-${at}`)),
            );
        await eventually("the other instance is gone", async () => (await sendAll("gone")).every(isFromFirst));
        const ended = mesh.daemons.get("pages-1")!.end("SIGTERM");
        await pause(500);
        const told = await sendAll("late");
        assert.deepEqual(told.map(item => item.status), Array(5).fill(200));
        assert.equal(await mesh.isReady("pages-1"), false);
        assert.equal(await ended, 0);
    });
});
