/**
 * Writes the code cache of a bundled daemon for the users' platform: `node build/warm.js OUT_FOLDER`.
 *
 * Two daemons serve requests between stand-ins on loopback for a moment, so that the cache holds all functions that a
 * start and a request need. The flags must be those of the real daemons (deploy/system.toml): a cache made under others is
 * turned down. Without a cache a daemon only starts more slowly, so a failure here is told and is no failure of the build.
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
const OUT = resolve(process.argv[2]);
const FOLDER = `${OUT}/warm`;
/** Of its own, so that builds at the same time do not meet; tests use the addresses up to 127.249. */
const NETWORK = `127.250.${1 + process.pid % 250}`;
const IPS = [`${NETWORK}.1`, `${NETWORK}.2`];
const STORE = `${NETWORK}.3:7300`;
/** The whole of it takes about five seconds; a build must not hang on it. */
const LIMIT_MS = 20_000;
/** Each function on the path of a request has run often enough to be compiled; chosen, not measured. */
const ROUNDS = 60;

const children = [];

/** Node's own flags in the deploy file's `run`: a code cache is for one set of flags. */
const flags = () => {
    const [, run] = /^run = "node (.*?) target\//m.exec(readFileSync(new URL("deploy/system.toml", ROOT), "utf8"));
    return run.split(" ");
};

const start = (args, env = {}) => {
    const child = spawn(process.execPath, args, { stdio: "ignore", env: { ...process.env, ...env } });
    children.push(child);
    return child;
};

/** The stand-ins are TypeScript; the platform's build runs no tsc. */
const makeStandins = () =>
    build({
        entryPoints: ["standin/storemain.ts", "standin/instancemain.ts"].map(name => new URL(name, ROOT).pathname),
        outdir: FOLDER,
        outExtension: { ".js": ".mjs" },
        bundle: true,
        platform: "node",
        format: "esm",
        logLevel: "error",
    });

/** The deployed settings, with addresses on loopback in the place of what the platform fills in. */
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

/** One rule of each kind, so that both paths through the gate are compiled. */
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

/** The store is a process that has just been started: it is tried until it answers. */
const configure = async () => {
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

/** Resolves with the status, 0 when there is none. */
const send = (ip, agent, method, path) =>
    new Promise(told => {
        const headers = {
            host: "site.example",
            "attempt-id": Math.random().toString(16).slice(2),
            "deadline-ms": "800",
        };
        const req = request(`http://${ip}:7104${path}`, { method, headers, agent }, res => {
            res.resume().on("end", () => told(res.statusCode)).on("error", () => told(0));
        });
        req.on("error", () => told(0));
        req.end(method === "POST" ? "a body" : undefined);
    });

/** Requests that stay on their host and such that cross, on kept and on new connections. */
const exercise = async () => {
    const kept = new Agent({ keepAlive: true });
    let served = 0;
    for (let round = 0; round < ROUNDS; round++) {
        const sent = IPS.flatMap(ip => [
            send(ip, kept, "GET", "/repeatable/1"),
            send(ip, undefined, "POST", "/once/1"),
            send(ip, undefined, "GET", "/repeatable/2"),
        ]);
        served += (await Promise.all(sent)).filter(status => status === 200).length;
        await sleep(10);
    }
    kept.destroy();
    return served;
};

const warm = async () => {
    await makeStandins();
    start([`${FOLDER}/storemain.mjs`, STORE]);
    await configure();
    const daemons = IPS.map((ip, index) => {
        const file = `${FOLDER}/settings-${index}.json`;
        writeFileSync(file, JSON.stringify(settings(ip, index)));
        const env = { WINGLOCK_BOOT: file, WINGLOCK_WRITE_CODE_CACHE: index === 0 ? "1" : "0" };
        return start([...flags(), `${OUT}/winglockd.cjs`], env);
    });
    IPS.forEach((ip, index) =>
        start([`${FOLDER}/instancemain.mjs`, `i-${index}`, "pages", `${ip}:7200`, "2", `${ip}:7106`])
    );
    await sleep(1000);
    const served = await exercise();
    const ends = daemons.map(daemon => once(daemon, "exit"));
    daemons.forEach(daemon => daemon.kill("SIGTERM"));
    await Promise.all(ends);
    console.log(`winglock: the code cache is made; ${served} requests served.`);
};

const limit = new AbortController();
try {
    const late = sleep(LIMIT_MS, undefined, { signal: limit.signal }).then(() => {
        throw new Error("it takes too long");
    });
    await Promise.race([warm(), late]);
}
catch (err) {
    console.log(`winglock: no code cache, daemons start more slowly: ${err.message}`);
}
finally {
    limit.abort();
    children.forEach(child => child.kill("SIGKILL"));
    rmSync(FOLDER, { recursive: true, force: true });
}
