import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigError } from "../config/configerror.js";
import { emptyDocument } from "../config/emptydocument.js";
import { Evacuations } from "../evacuation/evacuations.js";
import { Store } from "../store/store.js";
import type { StoreUpdate } from "../store/storeupdate.js";
import { CurrentConfiguration } from "./currentconfiguration.js";
import { DocumentRejection } from "./documentrejection.js";
import { DocumentWatcher } from "./documentwatcher.js";

const valid = (revision: number): StoreUpdate => ({
    document: { value: JSON.stringify({ ...emptyDocument, revision }), version: revision },
});
const invalid = (version: number): StoreUpdate => ({
    document: { value: JSON.stringify({ ...emptyDocument, revision: version, rules: 5 }), version },
});

/** Gives the updates one after another to the watches, then no more; remembers the versions that were asked for. */
class ScriptedStore extends Store {
    readonly versions: number[] = [];

    constructor(private readonly updates: readonly StoreUpdate[]) {
        super();
    }

    async read(): Promise<never> {
        throw new Error("unused");
    }

    async write(): Promise<boolean> {
        return false;
    }

    watch(version: number): Promise<StoreUpdate> {
        const update = this.updates[this.versions.length];
        this.versions.push(version);
        return update === undefined ? new Promise(() => {}) : Promise.resolve(update);
    }

    async hosts(): Promise<[]> {
        return [];
    }

    renewConnections(): void {}

    async close(): Promise<void> {}
}

type Watched = {
    readonly configuration: CurrentConfiguration;
    readonly rejection: DocumentRejection;
    readonly store: ScriptedStore;
};

/** Watches until all updates are handled; the time of each handling is one second later than that of the one before. */
const watchAll = async (...updates: StoreUpdate[]): Promise<Watched> => {
    const configuration = new CurrentConfiguration();
    const rejection = new DocumentRejection(configuration);
    const store = new ScriptedStore(updates);
    const clock = (): number => 1000 * store.versions.length;
    const watcher = new DocumentWatcher(store, configuration, new Evacuations(), rejection, clock);
    watcher.setWatching(true);
    while (store.versions.length <= updates.length) {
        await new Promise(resolve => setImmediate(resolve));
    }
    watcher.setWatching(false);
    return { configuration, rejection, store };
};

test("watcher: an invalid document is rejected as a whole, shown with its field and age, and not read again", async () => {
    const { configuration, rejection, store } = await watchAll(valid(1), invalid(2));
    assert.equal(configuration.revision, 1);
    assert.deepEqual(store.versions, [0, 1, 2]);
    const { fields, ageMs } = rejection.current(9000)!;
    assert.match(fields.join(), /^rules: /);
    assert.equal(ageMs, 7000);
    assert.equal(configuration.isFresh(2001), true, "the last valid document stays in force");
});

test("watcher: a document that the store's client could not decode is shown in the same way", async () => {
    const issue = { code: "c", path: "rules.3.kind", message: "m" };
    const { configuration, rejection } = await watchAll(valid(1), { invalid: new ConfigError([issue]) });
    assert.equal(configuration.revision, 1);
    assert.deepEqual(rejection.current(3000), { fields: ["rules.3.kind: m"], ageMs: 1000 });
});

test("watcher: further invalid documents do not change the time since which documents are rejected", async () => {
    const { rejection } = await watchAll(valid(1), invalid(2), invalid(3));
    assert.equal(rejection.current(9000)!.ageMs, 7000);
});

test("watcher: a valid document ends the rejection, also if it is the previous one again", async () => {
    assert.equal((await watchAll(valid(1), invalid(2), valid(3))).rejection.isRejected, false);
    assert.equal((await watchAll(valid(1), invalid(2), valid(1))).rejection.isRejected, false);
});
