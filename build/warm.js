/**
 * Writes the code cache of a bundled daemon for the users' platform: `node build/warm.js OUT_FOLDER`.
 *
 * For a moment, two daemons serve requests between stand-ins on loopback, so that the cache contains all functions that
 * a start and a request need. The Node.js flags must be those of the deployed daemons (deploy/system.toml), since
 * Node.js rejects a cache that was written with other flags. Without a cache, a daemon only starts more slowly. A
 * failure is therefore logged, but does not fail the build.
 */
import { build } from "esbuild";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fillTemplate } from "./filltemplate.js";

const ROOT = new URL("..", import.meta.url);
const OUT_FOLDER = resolve(process.argv[2]);
const WORK_FOLDER = `${OUT_FOLDER}/warm`;
/** Loopback network of this build, so that concurrent builds do not conflict; tests use 127.249 and below. */
const NETWORK = `127.250.${1 + process.pid % 250}`;
const IPS = [`${NETWORK}.1`, `${NETWORK}.2`];
const STORE = `${NETWORK}.3:7300`;
/** A run takes about five seconds; the limit keeps a build from hanging. */
const TIMEOUT_MS = 20_000;
/** Enough rounds for every function on the request path to be compiled. */
const ROUNDS = 60;

const childProcesses = [];

/** Returns the Node.js flags in `run` of the deploy file; a code cache is valid for one set of flags only. */
const nodeFlags = () => {
    const [, run] = /^run = "node (.*?) target\//m.exec(readFileSync(new URL("deploy/system.toml", ROOT), "utf8"));
    return run.split(" ");
};

const start = (args, env = {}) => {
    const child = spawn(process.execPath, args, { stdio: "ignore", env: { ...process.env, ...env } });
    childProcesses.push(child);
    return child;
};

/** Bundles the stand-ins, because they are TypeScript and the platform's build does not run tsc. */
const bundleStandins = () =>
    build({
        entryPoints: ["standin/storemain.ts", "standin/instancemain.ts"].map(name => new URL(name, ROOT).pathname),
        outdir: WORK_FOLDER,
        outExtension: { ".js": ".mjs" },
        bundle: true,
        platform: "node",
        format: "esm",
        logLevel: "error",
    });

/** Returns the deployed settings, with loopback addresses in place of the values that the platform fills in. */
const settings = (ip, index) => ({
    ...fillTemplate(readFileSync(new URL("deploy/settings.json", ROOT), "utf8")),
    host: `h${index}`,
    hall: `hall-${index}`,
    region: "r",
    ingress: `${ip}:7104`,
    peer: `${ip}:7100`,
    operator: `${ip}:7105`,
    upstream: `${ip}:7200`,
    announce: `${ip}:7106`,
    readiness: `${ip}:7102`,
    callerService: "pages",
    store: STORE,
    stop: { lingerMs: 50, limitMs: 500 },
});

/** The configuration in the store. It has a rule of each kind, so that both paths through the gate are compiled. */
const configuration = {
    revision: 1,
    rules: ["repeatable", "once"].map(kind => ({
        name: `r-${kind}`,
        host: "site.example",
        pathPrefix: `/${kind}/`,
        kind,
        timeLimitMs: 1000,
        targetMs: 300,
        priority: 1,
        service: "pages",
        maxTries: 2,
    })),
    services: [{ name: "pages", healthPath: "/health", connections: 50, protocol: "h1", tls: false }],
    limits: { headerBytes: 16384, bodyBytes: 65536, headersTimeoutMs: 3000, keepAliveMs: 15000 },
};

/** Writes the configuration to the store. Retries until the store, which has just been started, responds. */
const storeConfiguration = async () => {
    const value = Buffer.from(JSON.stringify(configuration)).toString("base64");
    const body = JSON.stringify({ put: [{ key: "op/config", value }] });
    for (;;) {
        try {
            await fetch(`http://${STORE}/api/kv-txn`, { method: "POST", body });
            return;
        }
        catch {
            await sleep(20);
        }
    }
};

/** Resolves with the status of the response, or 0 if there is none. */
const send = (ip, agent, method, path) =>
    new Promise(settle => {
        const headers = {
            host: "site.example",
            "attempt-id": Math.random().toString(16).slice(2),
            "deadline-ms": "800",
        };
        const req = request(`http://${ip}:7104${path}`, { method, headers, agent }, res => {
            res.resume().on("end", () => settle(res.statusCode)).on("error", () => settle(0));
        });
        req.on("error", () => settle(0));
        req.end(method === "POST" ? "a body" : undefined);
    });

/**
 * Sends requests that stay on their host and requests that cross to the other one, on kept-alive and on new
 * connections. Resolves with the number of requests that were served.
 */
const sendRequests = async () => {
    const keepAliveAgent = new Agent({ keepAlive: true });
    let served = 0;
    for (let round = 0; round < ROUNDS; round++) {
        const responses = IPS.flatMap(ip => [
            send(ip, keepAliveAgent, "GET", "/repeatable/1"),
            send(ip, undefined, "POST", "/once/1"),
            send(ip, undefined, "GET", "/repeatable/2"),
        ]);
        served += (await Promise.all(responses)).filter(status => status === 200).length;
        await sleep(10);
    }
    keepAliveAgent.destroy();
    return served;
};

const writeCodeCache = async () => {
    await bundleStandins();
    start([`${WORK_FOLDER}/storemain.mjs`, STORE]);
    await storeConfiguration();
    const daemons = IPS.map((ip, index) => {
        const file = `${WORK_FOLDER}/settings-${index}.json`;
        writeFileSync(file, JSON.stringify(settings(ip, index)));
        const env = { WINGLOCK_BOOT: file, WINGLOCK_WRITE_CODE_CACHE: index === 0 ? "1" : "0" };
        return start([...nodeFlags(), `${OUT_FOLDER}/winglockd.cjs`], env);
    });
    IPS.forEach((ip, index) =>
        start([`${WORK_FOLDER}/instancemain.mjs`, `i-${index}`, "pages", `${ip}:7200`, "2", `${ip}:7106`])
    );
    await sleep(1000);
    const served = await sendRequests();
    const exits = daemons.map(daemon => once(daemon, "exit"));
    daemons.forEach(daemon => daemon.kill("SIGTERM"));
    await Promise.all(exits);
    console.log(`winglock: code cache written after ${served} served requests.`);
};

const timeoutAbort = new AbortController();
try {
    const timeout = sleep(TIMEOUT_MS, undefined, { signal: timeoutAbort.signal }).then(() => {
        throw new Error("the time limit has passed");
    });
    await Promise.race([writeCodeCache(), timeout]);
}
catch (err) {
    console.log(`winglock: code cache could not be written, so daemons start more slowly: ${err.message}`);
}
finally {
    timeoutAbort.abort();
    childProcesses.forEach(child => child.kill("SIGKILL"));
    rmSync(WORK_FOLDER, { recursive: true, force: true });
}
