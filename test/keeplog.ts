/** Saves the log lines of the daemons when a test fails. */
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Writes the lines to a file in a new temporary folder and prints its path to standard error. */
export function keepLog(lines: readonly string[]): void {
    const file = join(mkdtempSync(join(tmpdir(), "winglock-failed-")), "daemons.log");
    writeFileSync(file, lines.join("\n"));
    console.error(`the log of the daemons is in ${file}`);
}
