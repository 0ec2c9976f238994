import assert from "node:assert/strict";
import { test } from "node:test";
import type { RequestKey } from "../ids/requestkey.js";
import { sleep } from "../time/sleep.js";
import { CrashWatch } from "./crashwatch.js";

const [bad, proper] = ["bad", "proper"] as RequestKey[] as [RequestKey, RequestKey];
const refused = (): Promise<void> => Promise.reject(Object.assign(new Error("refused"), { code: "ECONNREFUSED" }));
const lives = (): Promise<void> => Promise.resolve();

/** A watch of an upstream that answers questions so, and all that it has told and asked. */
const watchOf = (
    ask: () => Promise<void>,
    mayAsk = (): boolean => true,
): { readonly watch: CrashWatch; readonly told: RequestKey[][]; readonly asked: () => number; } => {
    const told: RequestKey[][] = [];
    let asked = 0;
    const watch = new CrashWatch({
        upstream: "u",
        clock: () => performance.now(),
        mayAsk,
        ask: () => {
            asked += 1;
            return ask();
        },
        onCrash: (_crash, requests) => told.push([...requests]),
    });
    return { watch, told, asked: () => asked };
};

test("crash watch: what broke off with its upstream is told once, by one question", async () => {
    const { watch, told, asked } = watchOf(refused);
    [bad, proper, bad].forEach(request => watch.ended(request, false));
    await sleep(30);
    watch.gone();
    assert.deepEqual([told, asked()], [[[bad, proper]], 1]);
});

test("crash watch: what broke off while the upstream lives is not told, also not at its next crash", async () => {
    const { watch, told } = watchOf(lives);
    watch.ended(bad, false);
    await sleep(30);
    watch.gone();
    assert.deepEqual(told, []);
});

test("crash watch: connections that break off over and over ask no more than the budget has", async () => {
    let left = 3;
    const { watch, asked } = watchOf(lives, () => left-- > 0);
    for (let time = 0; time < 40; time++) {
        watch.ended(bad, false);
        await sleep(3);
    }
    assert.equal(asked(), 3);
    left = 1;
    await sleep(60);
});

test("crash watch: a question that tells nothing is put a few times more", async () => {
    const { watch, asked } = watchOf(() => Promise.reject(new Error("reset")));
    watch.ended(bad, false);
    await sleep(80);
    assert.equal(asked(), 4);
});
