/**
 * `node dist/bench/documentgrowth.js [RULES]`.
 *
 * Measures what a document of the platform costs that has grown by many rules, as the first such document of the
 * process, when most code is not optimized yet: the processor time of each part, and its longest step without a pause.
 * Then the same document with one changed rule. Times in milliseconds.
 */
import { setImmediate } from "node:timers/promises";
import { ConfigurationDecoder } from "../platform/configurationdecoder.js";
import { decodeUpdate } from "../src/config/decodeupdate.js";
import { CurrentConfiguration } from "../src/distribution/currentconfiguration.js";
import { readJsonBody } from "../src/peer/readjsonbody.js";
import { ResponseBodies } from "../src/peer/responsebodies.js";
import { Transfer } from "../src/peer/transfer.js";
import { routingTableOf } from "../src/policy/routing/routingtableof.js";
import { createStepPause } from "../src/time/createsteppause.js";
import { processClock } from "../src/time/processclock.js";
import type { StepPause } from "../src/time/steppause.js";
import { platformConfiguration } from "../test/platformconfiguration.js";

const addedRules = Number(process.argv[2] ?? 1400);
const US_PER_MS = 1000;
const parts: Record<string, { readonly cpuMs: number; readonly steps: number; readonly longestStepMs: number; }> = {};

/** Runs a part with a pause that measures the time between its steps. */
const measure = async <Result>(name: string, run: (pause: StepPause) => Result | Promise<Result>): Promise<Result> => {
    await setImmediate();
    const pause = createStepPause(processClock);
    const cpuAtStart = process.cpuUsage();
    let stepStartedAt = processClock();
    let steps = 0;
    let longestStepMs = 0;
    const endStep = (): void => {
        steps += 1;
        longestStepMs = Math.max(longestStepMs, processClock() - stepStartedAt);
    };
    const result = await run(() => {
        const paused = pause();
        if (paused === undefined) {
            return undefined;
        }
        endStep();
        return paused.then(() => {
            stepStartedAt = processClock();
        });
    });
    endStep();
    const { user, system } = process.cpuUsage(cpuAtStart);
    parts[name] = { cpuMs: (user + system) / US_PER_MS, steps, longestStepMs: Number(longestStepMs.toFixed(2)) };
    return result;
};

const ruleOf = (index: number, timeLimitMs = 1000): object => ({
    name: `added-rule-${index}`,
    host: `site-${index % 50}.example`,
    pathPrefix: `/added/${index}/`,
    kind: index % 2 === 0 ? "repeatable" : "once",
    service: index % 3 === 0 ? "pages" : "fees",
    timeLimitMs,
    targetMs: 200,
    priority: 1,
    maxTries: 2,
});
const entryOf = (revision: number, rules: readonly object[]): object => ({
    key: "op/config",
    value: Buffer.from(JSON.stringify(platformConfiguration(revision, rules))).toString("base64"),
    storeRevision: revision,
});

async function* streamOf(bytes: Buffer): AsyncGenerator<Buffer> {
    yield bytes;
}

const bodies = new ResponseBodies();
const decoder = new ConfigurationDecoder();
const configuration = new CurrentConfiguration();
const receiver = new CurrentConfiguration();
const rules = Array.from({ length: addedRules }, (_, index) => ruleOf(index));

const applyVersion = async (label: string, revision: number, added: readonly object[]): Promise<void> => {
    const entry = entryOf(revision, added);
    const document = await measure(`${label}: decode`, pause => decoder.decode(entry, pause));
    await measure(`${label}: apply`, () => configuration.apply(document));
    await measure(`${label}: routing table`, () => routingTableOf(document));
    const update = configuration.updateFor(revision - 1);
    const { body, encoding } = await measure(`${label}: update to bytes`, () => bodies.encode(update, true));
    const transfer = new Transfer();
    const response = await measure(
        `${label}: update from bytes`,
        () => readJsonBody(streamOf(Buffer.from(body)), encoding, transfer),
    );
    const received = (response as { readonly result: { readonly data: unknown; }; }).result.data;
    const decoded = await measure(`${label}: decode update`, pause => decodeUpdate(received, pause));
    await measure(`${label}: apply update`, () => receiver.applyUpdate(decoded));
    console.log(label, "bytes for peers", transfer.bytes, "of", JSON.stringify(update).length);
};

await applyVersion("first", 1, rules.slice(0, 8));
await applyVersion("grown", 2, rules);
await applyVersion("one changed", 3, rules.with(5, ruleOf(5, 900)));
console.table(parts);
