/**
 * `node dist/bench/documentgrowth.js [RULES]`.
 *
 * Measures each step of applying a document of the platform that has grown by many rules, as the first such document of
 * the process, when most code is not optimized yet. Times in milliseconds.
 */
import { decodeConfiguration } from "../platform/decodeconfiguration.js";
import { ConfigurationUpdate } from "../src/config/configurationupdate.js";
import { parse } from "../src/config/parse.js";
import { CurrentConfiguration } from "../src/distribution/currentconfiguration.js";
import { decodeDocument } from "../src/distribution/decodedocument.js";
import { routingTableOf } from "../src/policy/routing/routingtableof.js";
import { platformConfiguration } from "../test/platformconfiguration.js";

const addedRules = Number(process.argv[2] ?? 1400);
const times: Record<string, number> = {};

const measure = <Result>(name: string, run: () => Result): Result => {
    const startAt = performance.now();
    const result = run();
    times[name] = Number((performance.now() - startAt).toFixed(2));
    return result;
};

const ruleOf = (index: number): object => ({
    name: `added-rule-${index}`,
    host: `site-${index % 50}.example`,
    pathPrefix: `/added/${index}/`,
    kind: index % 2 === 0 ? "repeatable" : "once",
    service: index % 3 === 0 ? "pages" : "fees",
    timeLimitMs: 1000,
    targetMs: 200,
    priority: 1,
    maxTries: 2,
});
const textOf = (revision: number, count: number): string =>
    JSON.stringify(platformConfiguration(revision, Array.from({ length: count }, (_, index) => ruleOf(index))));

const small = JSON.stringify(decodeConfiguration(textOf(1, 8)));
const configuration = new CurrentConfiguration();
const receiver = new CurrentConfiguration();
configuration.apply(decodeDocument(small));
receiver.apply(decodeDocument(small));
routingTableOf(configuration.document);

const text = textOf(2, addedRules);
const base64 = Buffer.from(text).toString("base64");
measure("base64", () => Buffer.from(base64, "base64").toString("utf8"));
measure("JSON.parse", () => JSON.parse(text) as unknown);
const decoded = measure("decodeConfiguration (with JSON.parse)", () => decodeConfiguration(text));
const value = measure("JSON.stringify", () => JSON.stringify(decoded));
const document = measure("decodeDocument", () => decodeDocument(value));
measure("apply (patch)", () => configuration.apply(document));
measure("routing table", () => routingTableOf(document));
const update = configuration.updateFor(1)!;
const updateText = measure("update to JSON", () => JSON.stringify(update));
const received = measure("update from JSON", () => JSON.parse(updateText) as unknown);
measure("bytes for the metric", () => JSON.stringify(received).length);
const parsed = measure("update validated", () => parse(ConfigurationUpdate, received));
measure("update applied", () => receiver.applyUpdate(parsed));
console.log(JSON.stringify({ bytes: text.length, updateBytes: updateText.length, times }, undefined, 4));
