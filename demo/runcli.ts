/** Runs the `winglock` command as a process. */
import { execFile } from "node:child_process";

const SCRIPT = new URL("../src/cli/winglock.js", import.meta.url).pathname;

/** Output and exit code of the command. */
type CliResult = { readonly code: number; readonly stdout: string; readonly stderr: string; };

/** Resolves with the result, also if the command fails. */
export function runCli(daemons: readonly string[], args: readonly string[]): Promise<CliResult> {
    const env = { ...process.env, WINGLOCK_DAEMONS: daemons.join(",") };
    return new Promise(resolve => {
        execFile(process.execPath, [SCRIPT, ...args], { env }, (err, stdout, stderr) => {
            resolve({ code: err === null ? 0 : Number(err.code ?? 1), stdout, stderr });
        });
    });
}
