/**
 * `run [TEXT]`.
 *
 * Runs all test files, or those whose path contains the text. Failures of tests that KNOWN-RED.txt lists are printed,
 * and do not make the run fail.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { runFiles } from "./runfiles.js";

const ROOT = new URL("../", import.meta.url).pathname;
const KNOWN_RED_FILE = new URL("../../KNOWN-RED.txt", import.meta.url).pathname;
const FILE_TIMEOUT_MS = 600_000;

const pathFilter = process.argv[2] ?? "";

/** Returns false for a compiled test whose source was moved or deleted, which the build folder may still contain. */
const hasSource = (file: string): boolean => existsSync(`${ROOT}../${file.replace(/\.js$/, ".ts")}`);

const files = readdirSync(ROOT, { recursive: true, encoding: "utf8" })
    .filter(file => file.endsWith(".test.js") && file.includes(pathFilter) && hasSource(file))
    .map(file => ROOT + file)
    .sort();

const knownRed = existsSync(KNOWN_RED_FILE) ? readFileSync(KNOWN_RED_FILE, "utf8") : "";
const passed = await runFiles({ files, knownRed, timeoutMs: FILE_TIMEOUT_MS, isFullRun: pathFilter === "" });
process.exitCode = passed ? 0 : 1;
