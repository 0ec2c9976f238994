/** Keeps what the daemons of a failed test logged. */
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Writes the lines to a file in a new temporary folder and says where. */
export function keepLog(lines: readonly string[]): void {
    const file = join(mkdtempSync(join(tmpdir(), "winglock-failed-")), "daemons.log");
    writeFileSync(file, lines.join("\n"));
    console.error(`what the daemons logged is in ${file}`);
}
