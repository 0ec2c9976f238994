import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { test } from "node:test";

const ROOT = new URL("../../", import.meta.url).pathname;
const PLATFORM_NAMES =
    /attempt-id|deadline-ms|server-signature|server-load|not-executed|caller-service|expected-instance|instance-id|kv-(?:key|range|watch|txn|lease|keep)|op\/config|op\/evacuate|store-era|(?<!winglock-)cold-ms|virtualHosts|WINGLOCK_BOOT/i;
const CLOCK_OR_RANDOMNESS = /setTimeout|setInterval|\bsleep\(|Math\.random|performance\.now|Date\.now/;

const listSources = (folder: string): string[] =>
    readdirSync(ROOT + folder, { recursive: true, encoding: "utf8" })
        .filter(file => file.endsWith(".ts") && !file.endsWith(".test.ts"))
        .map(file => `${folder}/${file}`);

const filesMatching = (folder: string, pattern: RegExp): string[] =>
    listSources(folder).filter(file => pattern.test(readFileSync(ROOT + file, "utf8")));

test("boundary: src/ contains none of the platform's names and imports nothing from platform/", () => {
    assert.ok(listSources("src").length > 100);
    assert.deepEqual(filesMatching("src", PLATFORM_NAMES), []);
    assert.deepEqual(filesMatching("src", /from "[^"]*\/platform\//), []);
});

/**
 * Returns the layer of each folder in src/: the index of its row in the table of docs/ARCHITECTURE.md, whose first row
 * is the lowest layer.
 */
const readLayers = (): Map<string, number> => {
    const rows = readFileSync(ROOT + "docs/ARCHITECTURE.md", "utf8").split("\n").filter(line =>
        line.startsWith("| `src/")
    );
    return new Map(
        rows.flatMap((row, layer) =>
            [...row.split("|")[1]!.matchAll(/`src\/(\w+)`/g)].map(match => [match[1]!, layer])
        ),
    );
};

test("boundary: no folder imports from a folder in a higher layer", () => {
    const layerOf = readLayers();
    assert.ok(layerOf.size > 20);
    const upwardImports: string[] = [];
    for (const file of listSources("src").filter(name => !name.startsWith("src/gen/"))) {
        const folder = file.split("/")[1]!;
        for (const [, path] of readFileSync(ROOT + file, "utf8").matchAll(/from "((?:\.\.\/)+[^"]+)"/g)) {
            const target = join(dirname(file), path!).split("/")[1]!;
            if (target !== "gen" && (layerOf.get(target) ?? Infinity) > (layerOf.get(folder) ?? -1)) {
                upwardImports.push(`${file} -> ${path}`);
            }
        }
    }
    assert.deepEqual(upwardImports, []);
});

/** Names in common use that are not specific to the platform, so src/ may contain them. */
const COMMON_NAMES: ReadonlySet<string> = new Set(["timeoutMs", "maxAttempts"]);

/**
 * Returns the platform's field names that deploy/wire.toml renames. Names without a capital letter are left out: they
 * are plain words that src/ may contain with another meaning.
 */
const readRenamedFields = (): string[] => {
    const [, fields = ""] = readFileSync(ROOT + "deploy/wire.toml", "utf8").split(/^\[\w+\]$/m);
    const names = [...fields.matchAll(/^(\w+) = "(\w+)"$/gm)];
    return names.map(match => match[1]!).filter(name => /[A-Z]/.test(name) && !COMMON_NAMES.has(name));
};

test("boundary: src/ contains none of the field names that deploy/wire.toml renames", () => {
    const names = readRenamedFields();
    assert.ok(names.length > 10);
    assert.deepEqual(filesMatching("src", new RegExp(`\\b(?:${names.join("|")})\\b`)), []);
});

test("boundary: platform/ reads no clock, sets no timers and uses no randomness", () => {
    assert.ok(listSources("platform").length > 5);
    assert.deepEqual(filesMatching("platform", CLOCK_OR_RANDOMNESS), []);
});
