/** Runs one scenario under one policy. */
import { setTimeout as wait } from "node:timers/promises";
import { request } from "undici";
import { Caller } from "../demo/caller.js";
import { control } from "../demo/control.js";
import type { HostPlan } from "../demo/hostplan.js";
import { Mesh } from "../demo/mesh.js";
import { quantile } from "../demo/quantile.js";
import { sumMetric } from "../demo/summetric.js";
import type { Told } from "../demo/told.js";
import { seededRandom } from "../standin/seededrandom.js";
import type { Arrival } from "./arrival.js";
import { benchSpec } from "./benchspec.js";
import type { PolicySpec } from "./policyspec.js";
import type { Result } from "./result.js";
import type { Scenario } from "./scenario.js";
import type { Spell } from "./spell.js";

const WARM_MS = 2500;
const WARM_RATE = 400;
const TAIL_SHARES = [0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.998, 0.999];

const send = async (mesh: Mesh, arrivals: readonly Arrival[], seed: number): Promise<Told[]> => {
    const caller = new Caller(seededRandom(seed));
    const ingresses = mesh.hosts.map(host => host.ingress);
    const startAt = performance.now();
    const told: Promise<Told>[] = [];
    for (const [at, arrival] of arrivals.entries()) {
        const dueAt = startAt + arrival.at;
        const aheadMs = dueAt - performance.now();
        if (aheadMs > 0) {
            await wait(aheadMs);
        }
        const once = arrival.type === "once";
        const req = {
            id: `${seed}-${at}`,
            kind: arrival.type,
            method: once ? "POST" : "GET",
            path: `/${arrival.type}/1`,
            once,
            headers: { "x-service-ms": String(arrival.serviceMs) },
        };
        told.push(caller.send(req, ingresses, dueAt));
    }
    const all = await Promise.all(told);
    caller.close();
    return all;
};

const served = async (hosts: readonly HostPlan[]): Promise<number> => {
    const counts = await Promise.all(hosts.map(async host => {
        const { body } = await request(`http://${host.upstream}/counts`);
        return (await body.json() as { served: number; }).served;
    }));
    return counts.reduce((sum, count) => sum + count, 0);
};

const roll = async (mesh: Mesh, hosts: readonly HostPlan[], seconds: number): Promise<void> => {
    for (const host of hosts) {
        await mesh.cli("drain", host.name);
        await wait(seconds * 1000 / hosts.length / 2);
        await mesh.cli("undrain", host.name);
    }
};

/** Starts a mesh, warms it up, and sends the arrivals. */
export async function runPolicy(
    scenario: Scenario,
    policy: PolicySpec,
    arrivals: readonly Arrival[],
    noise: readonly (readonly Spell[])[],
): Promise<Result> {
    const mesh = await Mesh.start(benchSpec, { settings: policy.settings, direct: true });
    try {
        const targets = mesh.hosts.filter(host => host.service === "target");
        const warm = Array.from({ length: WARM_MS * WARM_RATE / 1000 }, (_, at) => ({
            at: at * 1000 / WARM_RATE,
            serviceMs: benchSpec.meanMs,
            type: (["normal", "urgent", "once"] as const)[at % 3]!,
        }));
        await send(mesh, warm, 1);
        if (scenario.bad !== undefined) {
            await control(targets[0]!.upstream, scenario.bad);
        }
        const noiseFrom = Date.now();
        await Promise.all(targets.map((host, at) => control(host.upstream, { noise: noise[at], noiseFrom })));
        await control(mesh.storeAddress, { down: scenario.storeDown ?? false });
        const count = (): Promise<number[]> =>
            Promise.all([
                sumMetric(mesh.operators, "winglock_retries_total"),
                sumMetric(mesh.operators, "winglock_control_bytes_total"),
                served(targets),
            ]);
        const before = await count();
        const beganAt = performance.now();
        const seconds = arrivals.at(-1)!.at / 1000;
        const [told] = await Promise.all([
            send(mesh, arrivals, 2),
            scenario.rolling ? roll(mesh, targets, seconds) : undefined,
        ]);
        const elapsedS = (performance.now() - beganAt) / 1000;
        const [retries, bytes, runs] = (await count()).map((value, at) => value - before[at]!);
        const times = (test: (item: Told) => boolean): number[] =>
            told.filter(item => item.status === 200 && test(item)).map(item => item.ms).sort((a, b) => a - b);
        const all = times(() => true);
        return {
            scenario: scenario.name,
            policy: policy.name,
            sent: told.length,
            p50: quantile(all, 0.5),
            p99: quantile(all, 0.99),
            p999: quantile(all, 0.999),
            urgentP99: quantile(times(item => item.kind === "urgent"), 0.99),
            onceP99: quantile(times(item => item.kind === "once"), 0.99),
            answered: all.length,
            notRun: told.filter(item => item.word === "not-run").length,
            failed: told.filter(item => item.status !== 200 && item.word !== "not-run").length,
            retriesPerRequest: retries! / told.length,
            wastedPerRequest: Math.max(0, runs! - all.length) / told.length,
            controlBytesPerSecond: bytes! / elapsedS / mesh.hosts.length,
            tails: TAIL_SHARES.map(share => quantile(all, share)),
        };
    }
    finally {
        await mesh.stop();
    }
}
