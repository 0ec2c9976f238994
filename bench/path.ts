/**
 * `node dist/bench/path.js [ROUNDS] [RATE]`.
 *
 * Measures the latency that one hop and two hops add, and the processor time and memory of a daemon. `DAEMON_FLAGS` are
 * passed to the daemons' Node, for example `--cpu-prof`.
 */
import { Child } from "../demo/child.js";
import { control } from "../demo/control.js";
import { Mesh } from "../demo/mesh.js";
import { quantile } from "../demo/quantile.js";
import { timePath } from "../demo/timepath.js";
import { table } from "../src/cli/table.js";
import { pathMesh } from "./pathmesh.js";
import { readUsage } from "./readusage.js";

const WARM_UP_ROUNDS = 6;
const IDLE_MS = 5000;
const rounds = Number(process.argv[2] ?? 20);
const rate = Number(process.argv[3] ?? 500);

type Path = { readonly name: string; readonly address: string; readonly times: number[]; };

const daemonFlags = process.env["DAEMON_FLAGS"]?.split(" ");
const mesh = await Mesh.start(pathMesh, { direct: true, directPeers: true, daemonFlags });
const [target, neighbour] = mesh.hosts as [Mesh["hosts"][number], Mesh["hosts"][number]];
const forwarderScript = new URL("../standin/forwarder.js", import.meta.url).pathname;
const forwarderAddress = `${target.ip}:7500`;
const forwarder = new Child(forwarderScript, [forwarderAddress, target.upstream], () => {});
try {
    await forwarder.ready();
    await control(target.upstream, { meanMs: 1, spread: "none" });
    const paths: Path[] = [
        { name: "direct", address: target.upstream, times: [] },
        { name: "forwarder", address: forwarderAddress, times: [] },
        { name: "one hop", address: target.ingress, times: [] },
        { name: "two hops", address: neighbour.ingress, times: [] },
    ];
    const processes = [
        { name: "forwarder", pid: forwarder.pid },
        { name: "daemon of the target", pid: mesh.daemons.get(target.name)!.pid },
        { name: "daemon of the neighbour", pid: mesh.daemons.get(neighbour.name)!.pid },
    ];
    const usageAtStart = processes.map(({ pid }) => readUsage(pid));
    await new Promise(resolve => setTimeout(resolve, IDLE_MS));
    const usageAfterIdle = processes.map(({ pid }) => readUsage(pid));
    for (let round = 0; round < WARM_UP_ROUNDS + rounds; round++) {
        for (const path of paths) {
            const times = await timePath(path.address, "/target", rate);
            if (round >= WARM_UP_ROUNDS) {
                path.times.push(...times);
            }
        }
    }
    const usageAfterLoad = processes.map(({ pid }) => readUsage(pid));
    const shares = [0.5, 0.9, 0.99];
    const sortedTimes = paths.map(path => [...path.times].sort((a, b) => a - b));
    const directQuantiles = shares.map(share => quantile(sortedTimes[0]!, share));
    const added = sortedTimes.map(times =>
        shares.map((share, index) => quantile(times, share) - directQuantiles[index]!)
    );
    const rows = paths.map((path, index) => [
        path.name,
        ...shares.map(share => quantile(sortedTimes[index]!, share).toFixed(2)),
        ...added[index]!.map(ms => ms.toFixed(2)),
    ]);
    console.log(table(["path", "p50", "p90", "p99", "+p50", "+p90", "+p99"], rows));
    const usage = processes.map(({ name }, index) => [
        name,
        ((usageAfterIdle[index]!.cpuMs - usageAtStart[index]!.cpuMs) / IDLE_MS * 100).toFixed(2),
        usageAfterIdle[index]!.residentMb.toFixed(0),
        usageAfterLoad[index]!.residentMb.toFixed(0),
    ]);
    console.log(table(["process", "idle % of a core", "MB idle", "MB loaded"], usage));
    console.log(JSON.stringify({
        requests: sortedTimes[0]!.length,
        oneHopAddedP99Ms: Number(added[2]![2]!.toFixed(2)),
        twoHopsAddedP99Ms: Number(added[3]![2]!.toFixed(2)),
        forwarderAddedP99Ms: Number(added[1]![2]!.toFixed(2)),
    }));
}
finally {
    await forwarder.end("SIGKILL");
    await mesh.stop();
}
