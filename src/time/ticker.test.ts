import assert from "node:assert/strict";
import { test } from "node:test";
import { pause } from "../../test/pause.js";
import { Ticker } from "./ticker.js";

const countCalls = async (intervalMs: number, durationMs: number): Promise<number> => {
    let calls = 0;
    const ticker = new Ticker(intervalMs, () => calls += 1);
    ticker.start();
    await pause(durationMs);
    ticker.stop();
    return calls;
};

test("ticker: tickers that share a timer keep their own intervals, as one with a timer of its own does", async () => {
    const [often, seldom, own] = await Promise.all([countCalls(50, 1030), countCalls(200, 1030), countCalls(70, 1030)]);
    assert.ok(often! >= 10 && often! <= 21, `${often} calls at 50 ms`);
    assert.ok(seldom! >= 3 && seldom! <= 6, `${seldom} calls at 200 ms`);
    assert.ok(own! >= 7 && own! <= 15, `${own} calls at 70 ms`);
});

test("ticker: none is called after its stop, and a restart waits for one interval again", async () => {
    let calls = 0;
    const ticker = new Ticker(100, () => calls += 1);
    ticker.start();
    ticker.stop();
    await pause(250);
    assert.equal(calls, 0);
    ticker.start();
    await pause(60);
    ticker.start();
    await pause(60);
    assert.equal(calls, 0, "the restart has put the first call off");
    ticker.stop();
});
