import assert from "node:assert/strict";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { request } from "undici";
import { control } from "../demo/control.js";
import { seededRandom } from "../standin/seededrandom.js";
import { UpstreamStandin } from "../standin/upstreamstandin.js";
import { eventually } from "./eventually.js";

type Counts = { readonly served: number; readonly cancelled: number; readonly running: number; };

// Guards against a stand-in that runs more requests than it has slots: responses written to the socket counted twice.
test("upstream stand-in: a response that breaks off or is malformed frees its slot once", async t => {
    const { server } = new UpstreamStandin(2, seededRandom(1));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    t.after(() => server.close().closeAllConnections());
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const send = async (path: string, timeoutMs = 1000): Promise<void> => {
        const { body } = await request(`http://${address}${path}`, { signal: AbortSignal.timeout(timeoutMs) });
        await body.dump();
    };
    const faults = ["cut", "short", "long", "doubled", "late", "none"];
    for (const answerFault of faults) {
        await control(address, { meanMs: 1, answerFault });
        await send("/pages/1").catch(() => "the response is malformed");
    }
    await control(address, { meanMs: 500, answerFault: "none" });
    await assert.rejects(send("/pages/1", 50), "the caller leaves");
    await eventually("all slots are free", async () => {
        const { body } = await request(`http://${address}/counts`);
        const { served, cancelled, running } = await body.json() as Counts;
        return served === faults.length + 1 && cancelled === 1 && running === 0;
    }, 2000);
});
