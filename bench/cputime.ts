/**
 * `node dist/bench/cputime.js TARGET [DAEMONS] [RATE] [SECONDS]`.
 *
 * Measures the processor time of daemons at low request rates, where most code is not optimized by the compiler, and
 * prints it as JSON: in the start, and in the load without the start. TARGET is the folder of the bundle and its code
 * cache (`node build/bundle.js target platform/main.ts; node build/warm.js target`). The Node flags are those of
 * deploy/system.toml, or `DAEMON_FLAGS`; a cache is valid for the flags it was written with. A quarter of the upstreams
 * is slow at any time. RATE is the requests per second at each daemon.
 */
import { readFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { readMetric } from "../demo/readmetric.js";
import { PlatformMesh } from "../test/platformmesh.js";
import { readUsage } from "./readusage.js";

const ROOT = new URL("../../", import.meta.url);
const WORK_MS = 150;
const USUAL_PACE = 100;
const SLOW_PACE = 400;
const SLOW_SHARE = 0.25;
/** The slow upstreams are drawn again after this time. */
const REDRAW_MS = 300;
/** As often as instances on the users' platform announce themselves. */
const ANNOUNCE_EVERY_MS = 1000;
const MS_PER_SECOND = 1000;

const [target = "target", daemonCount = 12, rate = 13, seconds = 30] = process.argv.slice(2).map((arg, index) =>
    index === 0 ? arg : Number(arg)
) as [string?, number?, number?, number?];

const deployedFlags = (): string[] => {
    const text = readFileSync(new URL("deploy/system.toml", ROOT), "utf8");
    return /^run = "node (.*?) target\//m.exec(text)![1]!.split(" ");
};

type Build = { readonly fillTemplate: (text: string) => Record<string, object>; };

/** Returns the deployed settings, without those that the mesh fills in for each host. */
const deployedSettings = async (): Promise<object> => {
    const { fillTemplate } = await import(new URL("build/filltemplate.js", ROOT).href) as Build;
    const template = readFileSync(new URL("deploy/settings.json", ROOT), "utf8");
    const { limits, control, policy } = fillTemplate(template);
    return { limits, control, policy };
};

const nodeFlags = process.env["DAEMON_FLAGS"]?.split(" ") ?? deployedFlags();
const mesh = await PlatformMesh.start(["pages", "fees"], daemonCount / 2, ["a", "b", "c"], {
    script: resolve(target, "winglockd.cjs"),
    nodeFlags,
    settings: await deployedSettings(),
    announceEveryMs: ANNOUNCE_EVERY_MS,
});
const agents = new Map(mesh.hosts.map(({ name }) => [name, new Agent({ keepAlive: true })]));
const statuses: Record<string, number> = {};
let requests = 0;

const send = (name: string, ip: string): void => {
    const id = `${name}-${requests++}`;
    const isOnce = requests % 2 === 0;
    const headers = { "host": "site.example", "attempt-id": id, "deadline-ms": "1000", "x-filler": "v".repeat(40) };
    const req = request(`http://${ip}:7104${isOnce ? "/fees/" : "/pages/"}${id}`, {
        method: isOnce ? "POST" : "GET",
        headers,
        agent: agents.get(name),
    }, res => {
        statuses[res.statusCode!] = (statuses[res.statusCode!] ?? 0) + 1;
        res.resume();
    });
    req.on("error", () => statuses["error"] = (statuses["error"] ?? 0) + 1);
    req.end(isOnce ? "a body" : undefined);
};

/** Sends requests with exponentially distributed gaps until the time is over. */
const sendLoad = async (name: string, ip: string, endAt: number): Promise<void> => {
    for (;;) {
        await sleep(-Math.log(1 - Math.random()) / rate * MS_PER_SECOND);
        if (performance.now() >= endAt) {
            return;
        }
        send(name, ip);
    }
};

const redrawPaces = async (endAt: number): Promise<void> => {
    while (performance.now() < endAt) {
        const paceOf = (): number => Math.random() < SLOW_SHARE ? SLOW_PACE : USUAL_PACE;
        await Promise.all(
            mesh.hosts.map(({ name }) => mesh.controlInstance(name, { workMs: WORK_MS, pace: paceOf() })),
        );
        await sleep(REDRAW_MS);
    }
};

const cpuMs = (): number[] => mesh.hosts.map(({ name }) => readUsage(mesh.daemons.get(name)!.pid).cpuMs);
const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;
const meanMetric = async (name: string, label = ""): Promise<number> =>
    mean(await Promise.all(mesh.hosts.map(({ ip }) => readMetric(`${ip}:7105`, name, label))));

try {
    await sleep(MS_PER_SECOND);
    const atStart = cpuMs();
    const linesAtStart = mesh.log.length;
    const endAt = performance.now() + seconds * MS_PER_SECOND;
    await Promise.all([redrawPaces(endAt), ...mesh.hosts.map(({ name, ip }) => sendLoad(name, ip, endAt))]);
    await sleep(MS_PER_SECOND);
    const atEnd = cpuMs();
    const inLoad = atEnd.map((ms, index) => ms - atStart[index]!);
    const perDaemon = (count: number): number => Math.round(count / mesh.hosts.length);
    const lines = mesh.log.slice(linesAtStart);
    console.log(JSON.stringify({
        startMs: Math.round(mean(atStart)),
        loadMs: Math.round(mean(inLoad)),
        totalMs: Math.round(mean(atEnd)),
        requests: perDaemon(requests),
        arrivals: Math.round(await meanMetric("winglock_upstream_arrivals_total")),
        retries: Math.round(await meanMetric("winglock_retries_total")),
        logLines: perDaemon(lines.length),
        logBytes: perDaemon(lines.join("\n").length),
        statuses,
        codeCache: mesh.log.filter(line => line.includes("\"codeCache\":\"used\"")).length,
        flags: nodeFlags.join(" "),
    }));
}
finally {
    agents.forEach(agent => agent.destroy());
    await Promise.all([...mesh.daemons.values()].map(daemon => daemon.end()));
    await mesh.stop();
}
