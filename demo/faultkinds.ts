/** Every fault that a soak chooses from. */
import { setTimeout as wait } from "node:timers/promises";
import { control } from "./control.js";
import { FaultKind } from "./faultkind.js";
import type { HostPlan } from "./hostplan.js";
import type { Mesh } from "./mesh.js";

type Random = () => number;

const pick = (mesh: Mesh, random: Random): HostPlan => mesh.hosts[Math.floor(random() * mesh.hosts.length)]!;

/** What an upstream that states a limit may get is counted over such a time. */
const LIMIT_WINDOW_MS = 4000;

const lastMs = (random: Random): number => 300 + 2500 * random();

const makeKind = (name: string, happen: (mesh: Mesh, random: Random) => Promise<void>): FaultKind =>
    new class extends FaultKind {
        readonly name = name;
        happen = happen;
    }();

/** An upstream is told to behave badly for a while. */
const misbehave = (name: string, bad: object, good: object): FaultKind =>
    makeKind(name, async (mesh, random) => {
        const { upstream } = pick(mesh, random);
        await control(upstream, bad);
        await wait(lastMs(random));
        await control(upstream, good);
    });

/** Two streams of faults may pick the same host: it is restarted by one of them at a time. */
const restarting = new Set<HostPlan>();

const restart = async (mesh: Mesh, host: HostPlan, signal: NodeJS.Signals, downMs: number): Promise<void> => {
    if (restarting.has(host)) {
        return;
    }
    restarting.add(host);
    try {
        await mesh.daemons.get(host.name)!.end(signal);
        await wait(downMs);
        await mesh.startDaemon(host).ready();
    }
    finally {
        restarting.delete(host);
    }
};

/** By the names in the soak's last line. */
export const faultKinds: readonly FaultKind[] = [
    makeKind("daemonKilled", async (mesh, random) => {
        await restart(mesh, pick(mesh, random), "SIGKILL", lastMs(random));
    }),
    makeKind("daemonStopped", async (mesh, random) => {
        await restart(mesh, pick(mesh, random), "SIGTERM", 0);
    }),
    makeKind("daemonPaused", async (mesh, random) => {
        const daemon = mesh.daemons.get(pick(mesh, random).name)!;
        daemon.signal("SIGSTOP");
        await wait(2 * lastMs(random));
        daemon.signal("SIGCONT");
    }),
    makeKind("upstreamKilled", async (mesh, random) => {
        const host = pick(mesh, random);
        await mesh.upstreams.get(host.name)!.end("SIGKILL");
        await wait(lastMs(random));
        await mesh.startUpstream(host).ready();
    }),
    makeKind("upstreamStopped", async (mesh, random) => {
        const host = pick(mesh, random);
        await mesh.upstreams.get(host.name)!.end("SIGTERM");
        await mesh.startUpstream(host).ready();
    }),
    makeKind("storeDown", async (mesh, random) => {
        await control(mesh.storeAddress, { down: true });
        await wait(2 * lastMs(random));
        await control(mesh.storeAddress, { down: false });
    }),
    makeKind("hallCut", async (mesh, random) => {
        const { place } = pick(mesh, random);
        const others = [1, 2, 3].filter(other => other !== place);
        const links = (test: (host: HostPlan) => boolean): string[] =>
            mesh.hosts.filter(test).map(host => host.peerProxy);
        await mesh.setFaults([
            { links: links(host => host.place === place), from: others, cut: true },
            { links: [...links(host => host.place !== place), mesh.storeProxy], from: [place], cut: true },
        ]);
        await wait(lastMs(random));
        await mesh.setFaults([]);
    }),
    makeKind("linkSlow", async (mesh, random) => {
        await mesh.setFaults([{ links: [pick(mesh, random).peerProxy], from: [], delayMs: 200 }]);
        await wait(lastMs(random));
        await mesh.setFaults([]);
    }),
    makeKind("answersLost", async (mesh, random) => {
        await mesh.setFaults([{ links: [pick(mesh, random).peerProxy], from: [], lose: "back" }]);
        await wait(lastMs(random));
        await mesh.setFaults([]);
    }),
    makeKind("drained", async (mesh, random) => {
        const { name } = pick(mesh, random);
        await mesh.cli("drain", name);
        await wait(lastMs(random));
        await mesh.cli("undrain", name);
    }),
    misbehave("upstreamSlow", { slowdown: 10 }, { slowdown: 1 }),
    misbehave("upstreamFailing", { failing: 0.8 }, { failing: 0 }),
    misbehave("upstreamSheds", { shed: "said" }, { shed: "no" }),
    misbehave("upstreamLimited", { limitPerSecond: 3 }, { limitPerSecond: 0 }),
    makeKind("upstreamLimitedLong", async (mesh, random) => {
        const { upstream } = pick(mesh, random);
        await control(upstream, { limitPerSecond: 0.5 + 2 * random() });
        await wait(2 * LIMIT_WINDOW_MS);
        await control(upstream, { limitPerSecond: 0 });
    }),
    misbehave("upstreamLeaves", { leaving: true }, { leaving: false }),
    misbehave("answersCut", { answerFault: "cut", faultShare: 0.3 }, { answerFault: "none" }),
    misbehave("answersDoubled", { answerFault: "doubled", faultShare: 0.3 }, { answerFault: "none" }),
    misbehave("answersForeign", { answerFault: "foreign", faultShare: 0.3 }, { answerFault: "none" }),
];
