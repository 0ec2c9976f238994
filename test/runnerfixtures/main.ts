/**
 * `main KNOWN_RED FILE...`.
 *
 * Runs these files of the folder, with the first argument as the text of KNOWN-RED.txt.
 */
import { runFiles } from "../runfiles.js";

/** Short, because the fixture that hangs is run until its timeout. */
const FILE_TIMEOUT_MS = 2000;

const [knownRed = "", ...fixtureNames] = process.argv.slice(2);
const files = fixtureNames.map(name => new URL(`${name}.js`, import.meta.url).pathname);
process.exitCode = await runFiles({ files, knownRed, timeoutMs: FILE_TIMEOUT_MS, isFullRun: true }) ? 0 : 1;
