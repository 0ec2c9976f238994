/** `main KNOWN-RED FILE...`: a run of these files of the folder, with this text as the list of known failures. */
import { runFiles } from "../runfiles.js";

/** Of a file; the runner's own is minutes. */
const TIMEOUT_MS = 2000;

const [knownRed = "", ...names] = process.argv.slice(2);
const files = names.map(name => new URL(`${name}.js`, import.meta.url).pathname);
process.exitCode = await runFiles({ files, knownRed, timeoutMs: TIMEOUT_MS, isWhole: true }) ? 0 : 1;
