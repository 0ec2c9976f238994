import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { OwnDialect } from "../dialect/owndialect.js";
import { BodyMemory } from "../policy/admission/bodymemory.js";
import { UnreadMonitor } from "../time/unreadmonitor.js";
import { Ingress } from "./ingress.js";

/** More than the system buffers of a loopback connection take from a process whose peer does not read. */
const RESPONSE_BYTES = 16 * 1024 * 1024;
const LIMITS = {
    headerBytes: 16_384,
    keepBytes: 1024,
    bodyBytes: 1024,
    headersTimeoutMs: 5000,
    requestTimeoutMs: 5000,
    keepAliveMs: 5000,
    discardTimeoutMs: 5000,
    requestMemoryBytes: 1024 * 1024,
    requestsPerConnection: 8,
};
const POLL_INTERVAL_MS = 10;

const freePort = async (): Promise<number> => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
};

/** Starts an ingress that refuses each request with a response of `RESPONSE_BYTES`, and connects a caller to it. */
const startIngress = async (): Promise<{ readonly ingress: Ingress; readonly caller: Socket; }> => {
    const refusal = { type: "refusal", problem: "no-rule", detail: "x".repeat(RESPONSE_BYTES) };
    const ingress = new Ingress(
        LIMITS,
        {
            planner: { plan: () => refusal } as never,
            unread: new UnreadMonitor(() => performance.now()),
            callerService: undefined,
            bodyMemory: new BodyMemory(1024),
            maxOpenConnections: 100,
        },
        { clock: () => performance.now(), dialect: new OwnDialect(), newRequestId: () => "r" } as never,
    );
    const port = await freePort();
    await ingress.listen(`127.0.0.1:${port}`);
    const caller = connect(port, "127.0.0.1");
    await once(caller, "connect");
    return { ingress, caller };
};

const closeWhenIdle = async (ingress: Ingress): Promise<void> => {
    const startedAt = performance.now();
    ingress.startClosing({ lingerEndsAt: startedAt, limitAt: startedAt + 5000, exitAt: startedAt + 6000 });
    await ingress.close();
    while (ingress.inFlight > 0) {
        await pause(POLL_INTERVAL_MS);
    }
    ingress.destroy();
};

/** Reads until the connection is closed; returns the number of bytes. */
const readToEnd = async (caller: Socket): Promise<number> => {
    let bytes = 0;
    caller.on("data", (chunk: Buffer) => bytes += chunk.length);
    caller.on("error", () => {});
    caller.resume();
    await once(caller, "close");
    return bytes;
};

// Guards against a stop that takes a response for sent while the process still buffers a part of it.
for (const when of ["before", "during"] as const) {
    test(`ingress: a stop waits for a caller that reads slowly a response begun ${when} it`, async () => {
        const { ingress, caller } = await startIngress();
        caller.pause();
        const send = (): boolean => caller.write("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
        if (when === "before") {
            send();
            await pause(200);
        }
        const closed = closeWhenIdle(ingress);
        if (when === "during") {
            send();
        }
        await pause(500);
        assert.ok(await readToEnd(caller) > RESPONSE_BYTES);
        await closed;
        const { answered, unsentBytes } = ingress.stopSummary() as Record<string, number>;
        assert.deepEqual([answered, unsentBytes], [1, 0]);
    });
}
