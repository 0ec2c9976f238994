/** `npm run slopes`: measures what one more upstream, view, report, revision or request costs a daemon. */
import { pack, unpack } from "msgpackr";
import { createHmac } from "node:crypto";
import { Pool } from "undici";
import { Child } from "../demo/child.js";
import { control } from "../demo/control.js";
import { Mesh } from "../demo/mesh.js";
import { timePath } from "../demo/timepath.js";
import { table } from "../src/cli/table.js";
import { Document } from "../src/config/document.js";
import { makePatch } from "../src/config/makepatch.js";
import { parse } from "../src/config/parse.js";
import { Message } from "../src/datagram/message.js";
import { CurrentConfiguration } from "../src/distribution/currentconfiguration.js";
import { hallMembers } from "../src/distribution/hallmembers.js";
import { rank } from "../src/distribution/rank.js";
import type { Address } from "../src/ids/address.js";
import type { HallName } from "../src/ids/hallname.js";
import type { RequestId } from "../src/ids/requestid.js";
import { Ledger } from "../src/ledger/ledger.js";
import { ExpectedTime } from "../src/policy/placement/expectedtime.js";
import { matchRequest } from "../src/policy/routing/matchrequest.js";
import { makeDocument } from "./makedocument.js";
import { makeViews } from "./makeviews.js";
import { measureSlope } from "./measureslope.js";
import { pathMesh } from "./pathmesh.js";
import { readUsage } from "./readusage.js";
import type { Slope } from "./slope.js";

const COUNTS = [10, 50, 200, 660];
const US_PER_MS = 1000;
const IP_UDP_HEADER_BYTES = 28;
const TAG_BYTES = 8;
const retained: unknown[] = [];

const collectedHeapBytes = (): number => {
    globalThis.gc!();
    globalThis.gc!();
    return process.memoryUsage().heapUsed;
};

/** The heap in use and the memory that its objects hold outside of it, such as the buffers of sockets. */
const memoryBytes = (): number => collectedHeapBytes() + process.memoryUsage().external;

const retainedBytes = (create: () => unknown): number => {
    const before = collectedHeapBytes();
    retained.push(create());
    const bytes = collectedHeapBytes() - before;
    retained.pop();
    return bytes;
};

const measureMicroseconds = (times: number, run: (index: number) => void): number => {
    for (let index = 0; index < times; index++) {
        run(index);
    }
    const startAt = performance.now();
    for (let index = 0; index < times; index++) {
        run(index);
    }
    return (performance.now() - startAt) * US_PER_MS / times;
};

const random = (): number => Math.random();
const hall = "hall-1" as HallName;
const makeConfiguration = (count: number): CurrentConfiguration => {
    const configuration = new CurrentConfiguration();
    configuration.apply(parse(Document, makeDocument(count)));
    return configuration;
};
const documentBeforeAndAfter = (count: number): [Document, Document] => {
    const before = makeDocument(count);
    const upstreams = before.upstreams.with(0, { ...before.upstreams[0]!, draining: true });
    const revision = before.revision + 1;
    const changes = [...before.changes.slice(1), { ...before.changes[0]!, revision }];
    return [before, { ...before, revision, changes, upstreams }];
};

const heartbeat: Message = {
    type: "beat",
    from: "10.1.0.1:7100" as Address,
    revision: 123456,
    ageMs: 1234,
    watching: true,
    leaving: [],
};
const loadReport: Message = {
    type: "load",
    from: "10.1.0.1:7100" as Address,
    loads: [{
        upstream: "upstream-123" as never,
        report: { running: 12, waiting: 7, limit: 12, serviceMs: 10.123456, baseMs: 10.123456 },
    }],
};
const wireBytes = (message: Message): number => pack(message).length + TAG_BYTES + IP_UDP_HEADER_BYTES;
const sign = (body: Buffer): Buffer => createHmac("sha256", "key").update(body).digest();

const slopes: Slope[] = [
    await measureSlope(
        "document in memory, by upstream",
        "bytes",
        COUNTS,
        count => retainedBytes(() => makeConfiguration(count)),
    ),
    await measureSlope(
        "document as JSON, by upstream",
        "bytes",
        COUNTS,
        count => JSON.stringify(makeDocument(count)).length,
    ),
    await measureSlope(
        "patch of one change, by upstream",
        "bytes",
        COUNTS,
        count => JSON.stringify(makePatch(...documentBeforeAndAfter(count))).length,
    ),
    await measureSlope("taking in a revision, by upstream", "us", COUNTS, count =>
        measureMicroseconds(20, () => {
            const [before, after] = documentBeforeAndAfter(count);
            parse(Document, after);
            makePatch(before, after);
            rank(hallMembers(after.upstreams, hall), hall);
        })),
    await measureSlope("finding a rule, by upstream (0.3 rules each)", "us", COUNTS, count => {
        const document = makeDocument(count);
        const target = { method: "GET", host: "any", path: "/service-0/get/1?x" };
        return measureMicroseconds(2000, () => matchRequest(document, target, true, 0));
    }),
    await measureSlope(
        "view of an upstream in memory, no connection",
        "bytes",
        COUNTS,
        count => retainedBytes(() => makeViews(count, hall)),
    ),
    await measureSlope("placing a request, by candidate", "us", [4, 7, 50, 200], count => {
        const views = makeViews(count, hall);
        const placement = new ExpectedTime();
        return measureMicroseconds(2000, index => placement.choose(views, index / 10, random));
    }),
    await measureSlope("ledger entry", "bytes", [1000, 5000, 50_000], count =>
        retainedBytes(() => {
            const ledger = new Ledger(count);
            for (let index = 0; index < count; index++) {
                ledger.admit(`AbCdEfGhIjKl.${index}` as RequestId, 1e9, 0);
            }
            return ledger;
        })),
    await measureSlope(
        "heartbeat sent",
        "us",
        [1000, 10_000],
        count => count * measureMicroseconds(count, () => sign(pack(heartbeat))),
    ),
    await measureSlope("heartbeat received", "us", [1000, 10_000], count => {
        const body = pack(heartbeat);
        return count * measureMicroseconds(count, () => {
            sign(body);
            Message.safeParse(unpack(body));
        });
    }),
    await measureSlope("load report received", "us", [1000, 10_000], count => {
        const body = pack(loadReport);
        return count * measureMicroseconds(count, () => {
            sign(body);
            Message.safeParse(unpack(body));
        });
    }),
];

/**
 * Measures the processor time of ingress and gate per request on real daemons: that under load less that while idle.
 */
const measureRoles = async (): Promise<
    { readonly ingressUs: number; readonly gateUs: number; readonly idlePercent: number; readonly residentMb: number; }
> => {
    const mesh = await Mesh.start(pathMesh, { direct: true, directPeers: true });
    try {
        const [target, neighbour] = mesh.hosts as [Mesh["hosts"][number], Mesh["hosts"][number]];
        await control(target.upstream, { meanMs: 1, spread: "none" });
        for (let round = 0; round < 4; round++) {
            await timePath(neighbour.ingress, "/target");
        }
        const pids = [neighbour, target].map(host => mesh.daemons.get(host.name)!.pid);
        const idleMs = 5000;
        const cpuMsAtStart = pids.map(pid => readUsage(pid).cpuMs);
        await new Promise(resolve => setTimeout(resolve, idleMs));
        const idleShares = pids.map((pid, index) => (readUsage(pid).cpuMs - cpuMsAtStart[index]!) / idleMs);
        const cpuMsBeforeLoad = pids.map(pid => readUsage(pid).cpuMs);
        const startedAt = performance.now();
        let requests = 0;
        for (let round = 0; round < 8; round++) {
            requests += (await timePath(neighbour.ingress, "/target")).length;
        }
        const elapsedMs = performance.now() - startedAt;
        const usedMs = pids.map((pid, index) =>
            readUsage(pid).cpuMs - cpuMsBeforeLoad[index]! - idleShares[index]! * elapsedMs
        );
        const [ingressUs, gateUs] = usedMs.map(ms => ms * US_PER_MS / requests);
        return {
            ingressUs: ingressUs!,
            gateUs: gateUs!,
            idlePercent: idleShares[1]! * 100,
            residentMb: readUsage(pids[1]!).residentMb,
        };
    }
    finally {
        await mesh.stop();
    }
};

/** The server to which the connections are kept open. */
const server = new Child(new URL("../standin/upstreammain.js", import.meta.url).pathname, [
    "127.0.0.1:7999",
    "100",
    "1",
], () => {});
await server.ready();
slopes.push(
    await measureSlope("connection held open", "bytes", [10, 50, 200, 660], async count => {
        const before = memoryBytes();
        const pools = Array.from({ length: count }, () => new Pool("http://127.0.0.1:7999"));
        await Promise.all(
            pools.map(async pool => (await pool.request({ method: "GET", path: "/health" })).body.dump()),
        );
        const bytes = memoryBytes() - before;
        await Promise.all(pools.map(pool => pool.destroy()));
        return bytes;
    }),
);
await server.end("SIGKILL");
const roles = await measureRoles();
const rows = slopes.map(({ name, unit, perItem, totals }) => [
    name,
    `${perItem.toFixed(perItem < 10 ? 4 : 0)} ${unit}`,
    totals.map(({ count, total }) => `${count}: ${total.toFixed(total < 10 ? 2 : 0)}`).join("  "),
]);
console.log(table(["what", "each", "totals"], rows));
console.log(`bytes on the wire: heartbeat ${wireBytes(heartbeat)}, load report ${wireBytes(loadReport)}`);
console.log(JSON.stringify({
    slopes: Object.fromEntries(
        slopes.map(({ name, unit, perItem }) => [name, `${perItem.toFixed(3)} ${unit}`]),
    ),
    beatBytes: wireBytes(heartbeat),
    loadBytes: wireBytes(loadReport),
    ...roles,
}));
process.exit(0);
