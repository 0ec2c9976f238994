/** Times one path under an open-loop load. */
import assert from "node:assert/strict";
import { setTimeout as wait } from "node:timers/promises";
import { Pool } from "undici";

const RATE_PER_SECOND = 500;
const COUNT = 500;
const OK = 200;

/** Resolves with each request's time in milliseconds, from when it was due. */
export async function timePath(address: string, path: string, ratePerSecond = RATE_PER_SECOND): Promise<number[]> {
    const pool = new Pool(`http://${address}`, { connections: 32, pipelining: 1 });
    const times: number[] = [];
    const send = async (dueAt: number): Promise<void> => {
        const { statusCode, body } = await pool.request({ method: "GET", path });
        assert.equal(statusCode, OK);
        await body.dump();
        times.push(performance.now() - dueAt);
    };
    const startAt = performance.now();
    const sent: Promise<void>[] = [];
    for (let at = 0; at < COUNT; at++) {
        const dueAt = startAt + at * 1000 / ratePerSecond;
        const ahead = dueAt - performance.now();
        if (ahead > 0) {
            await wait(ahead);
        }
        sent.push(send(Math.max(dueAt, performance.now())));
    }
    await Promise.all(sent);
    await pool.close();
    return times;
}
