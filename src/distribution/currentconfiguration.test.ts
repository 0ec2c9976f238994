import assert from "node:assert/strict";
import { test } from "node:test";
import { applyChanges } from "../config/applychanges.js";
import type { Document } from "../config/document.js";
import { emptyDocument } from "../config/emptydocument.js";
import { parse } from "../config/parse.js";
import { Service } from "../config/service.js";
import type { ChangeId } from "../ids/changeid.js";
import { CurrentConfiguration } from "./currentconfiguration.js";

const withService = (document: Document, id: string, name: string): Document =>
    applyChanges(document, id as ChangeId, [{ type: "putService", service: parse(Service, { name }) }]);

test("configuration: the revision only increases, and patches bring a peer up to date", () => {
    const first = withService(emptyDocument, "c1", "a");
    const second = withService(first, "c2", "b");
    const [ahead, behind] = [new CurrentConfiguration(), new CurrentConfiguration()];
    ahead.apply(first);
    behind.apply(first);
    ahead.apply(second);
    assert.equal(ahead.apply(first), false);
    const update = ahead.updateFor(1)!;
    assert.equal(update.type, "patches");
    assert.equal(behind.applyUpdate(update), true);
    assert.deepEqual(behind.document, second);
    assert.equal(ahead.updateFor(0)!.type, "full");
    assert.equal(ahead.updateFor(2), undefined);
});

test("configuration: is fresh only while the store's confirmation of its revision is recent", () => {
    const configuration = new CurrentConfiguration();
    configuration.apply(withService(emptyDocument, "c1", "a"));
    configuration.confirm(2, 0);
    assert.equal(configuration.isFresh(1), false, "the store has a newer revision");
    configuration.confirm(1, 0);
    assert.equal(configuration.isFresh(11_999), true);
    assert.equal(configuration.isFresh(12_000), false);
});
