import assert from "node:assert/strict";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";

const ROOT = new URL("../../", import.meta.url).pathname;
/** Pages on the present state. EXPERIMENTS and READING are about the past, and may name files that no longer exist. */
const PAGES = [
    "README.md",
    "CONTRIBUTING.md",
    ...readdirSync(join(ROOT, "docs")).filter(name => name.endsWith(".md")).map(name => `docs/${name}`),
].filter(page => !/EXPERIMENTS|READING/.test(page));
const PATH_PATTERN =
    /(?<![\w/.-])((?:src|platform|deploy|standin|demo|bench|build|days|test|proto|docs)\/[\w/.-]*\w\/?)/g;
const LINK_PATTERN = /\]\(([^)#:]+)\)/g;
const SOURCE_FOLDERS = ["src", "platform", "standin", "demo", "bench", "test"];

const readFile = (page: string): string => readFileSync(join(ROOT, page), "utf8");

/** Returns whether the path exists; a path without an extension may be that of a TypeScript file. */
const pathExists = (path: string): boolean => [path, `${path}.ts`].some(name => existsSync(join(ROOT, name)));

test("docs: files and folders that the pages name exist", () => {
    for (const page of PAGES) {
        const missing = [...readFile(page).matchAll(PATH_PATTERN)].map(match => match[1]!).filter(path =>
            !pathExists(path)
        );
        assert.deepEqual(missing, [], page);
    }
});

test("docs: links in the pages refer to files that exist", () => {
    for (const page of PAGES) {
        const folder = page.includes("/") ? "docs" : "";
        const missing = [...readFile(page).matchAll(LINK_PATTERN)].map(match => match[1]!)
            .filter(link => !existsSync(join(ROOT, folder, link)));
        assert.deepEqual(missing, [], page);
    }
});

test("docs: classes and types that the pages name exist", () => {
    const code = SOURCE_FOLDERS.flatMap(folder =>
        readdirSync(join(ROOT, folder), { recursive: true, encoding: "utf8" })
            .filter(name => name.endsWith(".ts"))
            .map(name => readFile(`${folder}/${name}`))
    ).join("\n");
    for (const page of ["docs/ARCHITECTURE.md", "CONTRIBUTING.md"]) {
        const names = [...readFile(page).matchAll(/`([A-Z][a-z]+(?:[A-Z][a-z]+)+)`/g)].map(match => match[1]!);
        assert.ok(page !== "docs/ARCHITECTURE.md" || names.length > 10);
        assert.deepEqual(names.filter(name => !new RegExp(`\\b(?:class|type) ${name}\\b`).test(code)), [], page);
    }
});
