/** Kinds of faults from which a soak picks. */
import { setTimeout as wait } from "node:timers/promises";
import { control } from "./control.js";
import { FaultKind } from "./faultkind.js";
import type { HostPlan } from "./hostplan.js";
import type { Mesh } from "./mesh.js";

type Random = () => number;

const pickHost = (mesh: Mesh, random: Random): HostPlan => mesh.hosts[Math.floor(random() * mesh.hosts.length)]!;

/** Window over which `RunRecord` compares the arrivals at an upstream with its stated rate limit. */
const RATE_LIMIT_WINDOW_MS = 4000;

const randomDurationMs = (random: Random): number => 300 + 2500 * random();

const makeFaultKind = (name: string, inject: (mesh: Mesh, random: Random) => Promise<void>): FaultKind =>
    new class extends FaultKind {
        readonly name = name;
        inject = inject;
    }();

/** Sends the control message `faulty` to a random upstream, waits, and sends `normal`. */
const makeUpstreamFault = (name: string, faulty: object, normal: object): FaultKind =>
    makeFaultKind(name, async (mesh, random) => {
        const { upstream } = pickHost(mesh, random);
        await control(upstream, faulty);
        await wait(randomDurationMs(random));
        await control(upstream, normal);
    });

/** Two concurrent streams of faults may pick the same host; only one of them restarts its daemon at a time. */
const hostsBeingRestarted = new Set<HostPlan>();

const restartDaemon = async (mesh: Mesh, host: HostPlan, signal: NodeJS.Signals, downMs: number): Promise<void> => {
    if (hostsBeingRestarted.has(host)) {
        return;
    }
    hostsBeingRestarted.add(host);
    try {
        await mesh.daemons.get(host.name)!.end(signal);
        await wait(downMs);
        await mesh.startDaemon(host).ready();
    }
    finally {
        hostsBeingRestarted.delete(host);
    }
};

/** Names are keys in the JSON that the soak prints. */
export const faultKinds: readonly FaultKind[] = [
    makeFaultKind("daemonKilled", async (mesh, random) => {
        await restartDaemon(mesh, pickHost(mesh, random), "SIGKILL", randomDurationMs(random));
    }),
    makeFaultKind("daemonStopped", async (mesh, random) => {
        await restartDaemon(mesh, pickHost(mesh, random), "SIGTERM", 0);
    }),
    makeFaultKind("daemonPaused", async (mesh, random) => {
        const daemon = mesh.daemons.get(pickHost(mesh, random).name)!;
        daemon.signal("SIGSTOP");
        await wait(2 * randomDurationMs(random));
        daemon.signal("SIGCONT");
    }),
    makeFaultKind("upstreamKilled", async (mesh, random) => {
        const host = pickHost(mesh, random);
        await mesh.upstreams.get(host.name)!.end("SIGKILL");
        await wait(randomDurationMs(random));
        await mesh.startUpstream(host).ready();
    }),
    makeFaultKind("upstreamStopped", async (mesh, random) => {
        const host = pickHost(mesh, random);
        await mesh.upstreams.get(host.name)!.end("SIGTERM");
        await mesh.startUpstream(host).ready();
    }),
    makeFaultKind("storeDown", async (mesh, random) => {
        await control(mesh.storeAddress, { down: true });
        await wait(2 * randomDurationMs(random));
        await control(mesh.storeAddress, { down: false });
    }),
    makeFaultKind("hallCut", async (mesh, random) => {
        const { place } = pickHost(mesh, random);
        const otherPlaces = [1, 2, 3].filter(other => other !== place);
        const selectLinks = (predicate: (host: HostPlan) => boolean): string[] =>
            mesh.hosts.filter(predicate).map(host => host.peerProxy);
        await mesh.setFaults([
            { links: selectLinks(host => host.place === place), from: otherPlaces, cut: true },
            { links: [...selectLinks(host => host.place !== place), mesh.storeProxy], from: [place], cut: true },
        ]);
        await wait(randomDurationMs(random));
        await mesh.setFaults([]);
    }),
    makeFaultKind("linkSlow", async (mesh, random) => {
        await mesh.setFaults([{ links: [pickHost(mesh, random).peerProxy], from: [], delayMs: 200 }]);
        await wait(randomDurationMs(random));
        await mesh.setFaults([]);
    }),
    makeFaultKind("answersLost", async (mesh, random) => {
        await mesh.setFaults([{ links: [pickHost(mesh, random).peerProxy], from: [], lose: "back" }]);
        await wait(randomDurationMs(random));
        await mesh.setFaults([]);
    }),
    makeFaultKind("drained", async (mesh, random) => {
        const { name } = pickHost(mesh, random);
        await mesh.cli("drain", name);
        await wait(randomDurationMs(random));
        await mesh.cli("undrain", name);
    }),
    makeUpstreamFault("upstreamSlow", { slowdown: 10 }, { slowdown: 1 }),
    makeUpstreamFault("upstreamFailing", { failing: 0.8 }, { failing: 0 }),
    makeUpstreamFault("upstreamSheds", { shed: "said" }, { shed: "no" }),
    makeUpstreamFault("refusalsDoubled", { shed: "said", shedShare: 0.5, surplusShare: 0.5 }, {
        shed: "no",
        shedShare: 1,
        surplusShare: 0,
    }),
    makeUpstreamFault("upstreamLimited", { limitPerSecond: 3 }, { limitPerSecond: 0 }),
    makeFaultKind("upstreamLimitedLong", async (mesh, random) => {
        const { upstream } = pickHost(mesh, random);
        await control(upstream, { limitPerSecond: 0.5 + 2 * random() });
        await wait(2 * RATE_LIMIT_WINDOW_MS);
        await control(upstream, { limitPerSecond: 0 });
    }),
    makeUpstreamFault("upstreamLeaves", { leaving: true }, { leaving: false }),
    makeUpstreamFault("answersCut", { answerFault: "cut", faultShare: 0.3 }, { answerFault: "none" }),
    makeUpstreamFault("answersDoubled", { answerFault: "doubled", faultShare: 0.3 }, { answerFault: "none" }),
    makeUpstreamFault("answersForeign", { answerFault: "foreign", faultShare: 0.3 }, { answerFault: "none" }),
];
