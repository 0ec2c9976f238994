import assert from "node:assert/strict";
import { test } from "node:test";
import { documentWithRules } from "../../test/documentwithrules.js";
import type { Document } from "../config/document.js";
import { emptyDocument } from "../config/emptydocument.js";
import type { ServiceName } from "../ids/servicename.js";
import type { StoredDocument } from "../store/storeddocument.js";
import { processClock } from "../time/processclock.js";
import { sleep } from "../time/sleep.js";
import { CurrentConfiguration } from "./currentconfiguration.js";
import { DocumentApplier } from "./documentapplier.js";
import { DocumentRejection } from "./documentrejection.js";

const DECODE_MS = 30;

test("applier: 25 versions in 1.5 s are decoded a few times, and the newest is applied and confirmed", async () => {
    const configuration = new CurrentConfiguration();
    const applier = new DocumentApplier(configuration, new DocumentRejection(configuration), processClock);
    let decodings = 0;
    const versionOf = (revision: number): StoredDocument => ({
        version: revision,
        decode: async () => {
            decodings += 1;
            await sleep(DECODE_MS);
            return { ...emptyDocument, revision };
        },
    });
    let applied = Promise.resolve();
    for (let revision = 1; revision <= 25; revision++) {
        applied = applier.apply(versionOf(revision), processClock());
        await sleep(60);
    }
    await applied;
    assert.equal(configuration.revision, 25);
    assert.equal(configuration.isFresh(processClock()), true);
    assert.ok(decodings <= 4, `${decodings} decodings`);
});

test("applier: a single version is applied at once, and the next one after a rest of at most 0.7 s", async () => {
    const configuration = new CurrentConfiguration();
    const applier = new DocumentApplier(configuration, new DocumentRejection(configuration), processClock);
    const slowVersion = (revision: number): StoredDocument => ({
        version: revision,
        decode: () => sleep(200).then(() => ({ ...emptyDocument, revision })),
    });
    const startedAt = processClock();
    await applier.apply(slowVersion(1), startedAt);
    assert.ok(processClock() - startedAt < 600);
    await applier.apply(slowVersion(2), processClock());
    assert.equal(configuration.revision, 2);
    assert.ok(processClock() - startedAt < 1900);
});

// Guards against a stored document that refuses the requests of one of its rules with 404, because it names a service
// that does not exist: it was applied, although an operator's change of the same content is rejected.
test("applier: a document that refers to an unknown service is rejected, and the previous one stays in force", async () => {
    const configuration = new CurrentConfiguration();
    const rejection = new DocumentRejection(configuration);
    const applier = new DocumentApplier(configuration, rejection, processClock);
    const apply = (document: Document): Promise<void> =>
        applier.apply({ version: document.revision, decode: async () => document }, processClock());
    const valid = documentWithRules(1, 3);
    const [rule] = valid.rules;
    const unknown = "unknown" as ServiceName;
    await apply(valid);
    await apply({ ...valid, revision: 2, rules: [{ ...rule!, service: unknown }] });
    assert.equal(configuration.revision, 1);
    assert.deepEqual(rejection.current(processClock())?.fields, ["rules.0.service: no service is named unknown"]);
    await apply({ ...valid, revision: 3, rules: [{ ...rule!, split: [{ service: unknown, weight: 1 }] }] });
    assert.equal(configuration.revision, 1);
    await apply({ ...valid, revision: 4 });
    assert.equal(configuration.revision, 4);
    assert.equal(rejection.isRejected, false);
});
