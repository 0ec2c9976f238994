/** `run [WORDS]`: runs all tests, or those in files whose path holds the words; what KNOWN-RED.txt lists is printed and passed over. */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { runFiles } from "./runfiles.js";

const ROOT = new URL("../", import.meta.url).pathname;
const KNOWN_RED = new URL("../../KNOWN-RED.txt", import.meta.url).pathname;
/** Of a file. */
const TIMEOUT_MS = 600_000;

const wanted = process.argv[2] ?? "";

/** The build folder may still hold a compiled test whose source has moved or is gone. */
const hasSource = (file: string): boolean => existsSync(`${ROOT}../${file.replace(/\.js$/, ".ts")}`);

const files = readdirSync(ROOT, { recursive: true, encoding: "utf8" })
    .filter(file => file.endsWith(".test.js") && file.includes(wanted) && hasSource(file))
    .map(file => ROOT + file)
    .sort();

const knownRed = existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, "utf8") : "";
const isGreen = await runFiles({ files, knownRed, timeoutMs: TIMEOUT_MS, isWhole: wanted === "" });
process.exitCode = isGreen ? 0 : 1;
