import assert from "node:assert/strict";
import { test } from "node:test";
import type { ConfigurationUpdate } from "../config/configurationupdate.js";
import { emptyDocument } from "../config/emptydocument.js";
import type { Address } from "../ids/address.js";
import { Metrics } from "../metrics/metrics.js";
import { processClock } from "../time/processclock.js";
import { sleep } from "../time/sleep.js";
import { ConfigurationPuller } from "./configurationpuller.js";
import { CurrentConfiguration } from "./currentconfiguration.js";

const A = "10.0.0.1:1" as Address;
const B = "10.0.0.2:1" as Address;
/** Far below the time limit of a call, and above the wait for the head of a response. */
const BOUND_MS = 700;

const updateTo = (revision: number): ConfigurationUpdate => (
    { type: "full", document: { ...emptyDocument, revision } }
);
const never = (): Promise<never> => new Promise(() => {});

type Respond = (have: number) => Promise<ConfigurationUpdate | undefined>;

/** Creates a puller whose peers respond as given. */
const pullerFrom = (peers: Readonly<Record<string, Respond>>): {
    readonly puller: ConfigurationPuller;
    readonly configuration: CurrentConfiguration;
} => {
    const configuration = new CurrentConfiguration();
    const client = { update: (address: Address, have: number) => peers[address]!(have) };
    const puller = new ConfigurationPuller(configuration, client as never, new Metrics(), processClock);
    return { puller, configuration };
};

// Guards against a daemon that had a change only seconds later, because it was announced during a pull of the one before.
test("puller: a revision that is announced during a pull comes into force right after it", async () => {
    let newest = 5;
    const { puller, configuration } = pullerFrom({
        [A]: async () => {
            const revision = newest;
            await sleep(50);
            return updateTo(revision);
        },
    });
    const first = puller.pull(5, A);
    await sleep(20);
    newest = 6;
    await puller.pull(6, A);
    await first;
    assert.equal(configuration.revision, 6);
});

// Guards against a daemon that waits for a peer which has stopped, while another one has announced the same change.
test("puller: an unresponsive peer delays a change by less than the time limit of a call", async () => {
    const { puller, configuration } = pullerFrom({ [A]: never, [B]: async () => updateTo(5) });
    void puller.pull(5, A);
    void puller.pull(5, B);
    await sleep(BOUND_MS);
    assert.equal(configuration.revision, 5);
});

// Guards against a daemon that starts with no configuration although only one of its seeds is unreachable.
test("puller: of several seeds, those that respond are used", async () => {
    const { puller, configuration } = pullerFrom({
        [A]: () => Promise.reject(new Error("connection refused")),
        [B]: async () => updateTo(5),
    });
    await Promise.all([puller.pull(Infinity, A), puller.pull(Infinity, B)]);
    assert.equal(configuration.revision, 5);
});

test("puller: a request waits for a newer revision only briefly", async () => {
    const { puller } = pullerFrom({ [A]: never });
    const startedAt = processClock();
    await puller.pullForRequest(5, A);
    assert.ok(processClock() - startedAt < BOUND_MS);
});
