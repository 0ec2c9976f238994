import assert from "node:assert/strict";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";

const ROOT = new URL("../../", import.meta.url).pathname;
/** Pages that say what is true now; EXPERIMENTS and READING tell of the past, and may name what is gone. */
const PAGES = [
    "README.md",
    "CONTRIBUTING.md",
    ...readdirSync(join(ROOT, "docs")).filter(name => name.endsWith(".md")).map(name => `docs/${name}`),
].filter(page => !/EXPERIMENTS|READING/.test(page));
const PATH = /(?<![\w/.-])((?:src|platform|deploy|standin|demo|bench|build|days|test|proto|docs)\/[\w/.-]*\w\/?)/g;
const LINK = /\]\(([^)#:]+)\)/g;
const SOURCES = ["src", "platform", "standin", "demo", "bench", "test"];

const read = (page: string): string => readFileSync(join(ROOT, page), "utf8");

/** A path without an ending may be a TypeScript file's. */
const isThere = (path: string): boolean => [path, `${path}.ts`].some(name => existsSync(join(ROOT, name)));

test("docs: files and folders that they name exist", () => {
    for (const page of PAGES) {
        const missing = [...read(page).matchAll(PATH)].map(match => match[1]!).filter(path => !isThere(path));
        assert.deepEqual(missing, [], page);
    }
});

test("docs: links lead to pages that exist", () => {
    for (const page of PAGES) {
        const folder = page.includes("/") ? "docs" : "";
        const missing = [...read(page).matchAll(LINK)].map(match => match[1]!)
            .filter(link => !existsSync(join(ROOT, folder, link)));
        assert.deepEqual(missing, [], page);
    }
});

test("docs: classes and types that they name exist", () => {
    const code = SOURCES.flatMap(folder =>
        readdirSync(join(ROOT, folder), { recursive: true, encoding: "utf8" })
            .filter(name => name.endsWith(".ts"))
            .map(name => read(`${folder}/${name}`))
    ).join("\n");
    for (const page of ["docs/ARCHITECTURE.md", "CONTRIBUTING.md"]) {
        const names = [...read(page).matchAll(/`([A-Z][a-z]+(?:[A-Z][a-z]+)+)`/g)].map(match => match[1]!);
        assert.ok(page !== "docs/ARCHITECTURE.md" || names.length > 10);
        assert.deepEqual(names.filter(name => !new RegExp(`\\b(?:class|type) ${name}\\b`).test(code)), [], page);
    }
});
