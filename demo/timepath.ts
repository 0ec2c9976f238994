/** Measures the latency of one path under open-loop load. */
import assert from "node:assert/strict";
import { setTimeout as wait } from "node:timers/promises";
import { Pool } from "undici";

const REQUESTS_PER_SECOND = 500;
const REQUEST_COUNT = 500;
const STATUS_OK = 200;

/** Resolves with the latencies in milliseconds, each from the due time, or from the sending if that was later. */
export async function timePath(address: string, path: string, ratePerSecond = REQUESTS_PER_SECOND): Promise<number[]> {
    const pool = new Pool(`http://${address}`, { connections: 32, pipelining: 1 });
    const latenciesMs: number[] = [];
    const send = async (dueAt: number): Promise<void> => {
        const { statusCode, body } = await pool.request({ method: "GET", path });
        assert.equal(statusCode, STATUS_OK);
        await body.dump();
        latenciesMs.push(performance.now() - dueAt);
    };
    const startAt = performance.now();
    const sent: Promise<void>[] = [];
    for (let index = 0; index < REQUEST_COUNT; index++) {
        const dueAt = startAt + index * 1000 / ratePerSecond;
        const untilDueMs = dueAt - performance.now();
        if (untilDueMs > 0) {
            await wait(untilDueMs);
        }
        sent.push(send(Math.max(dueAt, performance.now())));
    }
    await Promise.all(sent);
    await pool.close();
    return latenciesMs;
}
