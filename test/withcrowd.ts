/** Runs a crowd of clients that exceed the limits against two daemons, and checks what must hold of the daemons. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { request } from "node:http";
import type { TestContext } from "node:test";
import { CrowdClient } from "./crowdclient.js";
import { eventually } from "./eventually.js";
import { platformConfiguration } from "./platformconfiguration.js";
import { PlatformMesh } from "./platformmesh.js";
import { readProcess } from "./readprocess.js";
import { runWith } from "./runwith.js";

const MIB = 1024 * 1024;
/** The memory of the smallest host that the users run. */
const MEMORY_BYTES = 250 * MIB;
/** The descriptors of a process on the users' hosts. */
const DESCRIPTORS = 4100;

const DEPLOY_FILE = new URL("../../deploy/system.toml", import.meta.url).pathname;

const INGRESS_PORT = 7104;
/** Twice the time limit of the rules. */
const ANSWER_TIMEOUT_MS = 2000;

/** The host whose daemon the clients connect to. */
const HOST = "pages-1";

/** The flags with which the daemon is run on the users' hosts. */
const nodeFlags = (): string[] => /^run = "node (.*) target\//m.exec(readFileSync(DEPLOY_FILE, "utf8"))![1]!.split(" ");

type CrowdTest = {
    readonly crowd: ConstructorParameters<typeof CrowdClient>[2];
    /** The limit on the descriptors of each daemon. */
    readonly maxDescriptors?: number;
    /** The number of ordinary callers that connect at the same time. */
    readonly ordinaryCallers?: number;
    readonly settings?: object;
    /** The slots of each instance. */
    readonly slots?: number;
    /** Called before the clients connect. */
    readonly prepare?: (mesh: PlatformMesh) => Promise<void>;
    /** Called while the clients are connected, after the ordinary requests. */
    readonly check?: (crowd: CrowdClient, mesh: PlatformMesh) => Promise<void>;
};

/** Sends an ordinary request over a new connection; resolves with true if it is answered with status 200. */
const isServed = (mesh: PlatformMesh, method: string, path: string, fields = {}): Promise<boolean> =>
    new Promise(resolve => {
        const headers = { "host": "site.example", "attempt-id": "ordinary", "deadline-ms": "1000", ...fields };
        const url = `http://${mesh.host(HOST).ip}:${INGRESS_PORT}${path}`;
        const req = request(url, { method, headers, agent: false }, res => {
            res.resume().on("end", () => resolve(res.statusCode === 200)).on("error", () => resolve(false));
        });
        req.setTimeout(ANSWER_TIMEOUT_MS, () => req.destroy());
        req.on("error", () => resolve(false)).end(method === "GET" ? undefined : "body");
    });

/**
 * Checks the daemons while the clients of the crowd are still connected: both run, within the memory of their host, and
 * an ordinary request is answered, also one with a chunked body. Reports what each daemon has used.
 */
export async function withCrowd(
    t: TestContext,
    { crowd, maxDescriptors = DESCRIPTORS, ordinaryCallers = 1, settings, slots, prepare, check }: CrowdTest,
): Promise<void> {
    const options = {
        nodeFlags: nodeFlags(),
        settings: { limits: { headerBytes: 65536, ...settings } },
        maxDescriptors,
        slots,
    };
    await runWith(await PlatformMesh.start(["pages", "fees"], 1, undefined, options), async mesh => {
        await mesh.configure(platformConfiguration(2));
        await eventually(
            "both services are served",
            async () => await isServed(mesh, "GET", "/pages/1") && await isServed(mesh, "POST", "/fees/1"),
        );
        await prepare?.(mesh);
        const clients = new CrowdClient(mesh, HOST, crowd);
        try {
            await clients.settle();
            await eventually("each ordinary request is answered", async () => {
                const requests = Array.from({ length: ordinaryCallers }, () => isServed(mesh, "GET", "/pages/1"));
                return (await Promise.all(requests)).every(served => served);
            });
            await eventually(
                "an ordinary request with a chunked body is answered",
                () => isServed(mesh, "POST", "/fees/1", { "transfer-encoding": "chunked" }),
            );
            for (const [name, daemon] of mesh.daemons) {
                assert.ok(daemon.running, `${name} runs`);
                const { peakBytes, descriptors } = readProcess(daemon.pid);
                t.diagnostic(`${name}: peak ${Math.round(peakBytes / MIB)} MiB, ${descriptors} descriptors`);
                assert.ok(peakBytes < MEMORY_BYTES, `${name} has used ${Math.round(peakBytes / MIB)} MiB`);
                assert.ok(descriptors <= maxDescriptors, `${name} has ${descriptors} descriptors`);
            }
            await check?.(clients, mesh);
        }
        finally {
            clients.close();
        }
    });
}
