import assert from "node:assert/strict";
import { test } from "node:test";
import { DocumentDecoder } from "../config/documentdecoder.js";
import { emptyDocument } from "../config/emptydocument.js";
import { Evacuations } from "../evacuation/evacuations.js";
import { Store } from "../store/store.js";
import type { StoreUpdate } from "../store/storeupdate.js";
import { CurrentConfiguration } from "./currentconfiguration.js";
import { DocumentApplier } from "./documentapplier.js";
import { DocumentRejection } from "./documentrejection.js";
import { DocumentWatcher } from "./documentwatcher.js";

const decoder = new DocumentDecoder();
const stored = (version: number, raw: unknown): StoreUpdate => ({
    document: { version, decode: pause => decoder.decode(raw, pause) },
});
const valid = (revision: number): StoreUpdate => stored(revision, { ...emptyDocument, revision });
const invalid = (revision: number): StoreUpdate => stored(revision, { ...emptyDocument, revision, rules: 5 });

/** Gives the updates one after another to the watches, then no more; remembers the versions that were asked for. */
class ScriptedStore extends Store {
    readonly versions: number[] = [];

    constructor(private readonly updates: readonly StoreUpdate[], private readonly beforeWatch: () => Promise<void>) {
        super();
    }

    async read(): Promise<never> {
        throw new Error("unused");
    }

    async readCached(): Promise<never> {
        throw new Error("unused");
    }

    async write(): Promise<boolean> {
        return false;
    }

    async watch(version: number): Promise<StoreUpdate> {
        await this.beforeWatch();
        const update = this.updates[this.versions.length];
        this.versions.push(version);
        return update === undefined ? new Promise(() => {}) : update;
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
    const store: ScriptedStore = new ScriptedStore(updates, async () => {
        while (!applier.isIdle) {
            await new Promise(resolve => setImmediate(resolve));
        }
    });
    const clock = (): number => 1000 * store.versions.length;
    const applier: DocumentApplier = new DocumentApplier(configuration, rejection, clock);
    const watcher = new DocumentWatcher(store, configuration, new Evacuations(), applier, clock);
    watcher.setWatching(true);
    while (store.versions.length <= updates.length || !applier.isIdle) {
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

test("watcher: further invalid documents do not change the time since which documents are rejected", async () => {
    const { rejection } = await watchAll(valid(1), invalid(2), invalid(3));
    assert.equal(rejection.current(9000)!.ageMs, 7000);
});

test("watcher: a valid document ends the rejection, also if it is the previous one again", async () => {
    assert.equal((await watchAll(valid(1), invalid(2), valid(3))).rejection.isRejected, false);
    assert.equal((await watchAll(valid(1), invalid(2), valid(1))).rejection.isRejected, false);
});
