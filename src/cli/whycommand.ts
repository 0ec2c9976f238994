/** Implements `winglock why`. */
import { command, flag, positional, restPositionals, string } from "cmd-ts";
import { readFileSync } from "node:fs";
import { CliError } from "./clierror.js";
import { exitCode } from "./exitcode.js";
import { formatRequestLog } from "./formatrequestlog.js";
import { output } from "./output.js";
import { readRequestLog } from "./readrequestlog.js";

/** The file descriptor of standard input. */
const STDIN_FD = 0;

const readLog = (file: string | number): string => {
    try {
        return readFileSync(file, "utf8");
    }
    catch (err) {
        throw new CliError(exitCode.invalid, `the log can't be read: ${(err as Error).message}`);
    }
};

/** Prints the log lines of one request. Calls no daemon; reads the logs of all hosts. */
export const whyCommand = command({
    name: "why",
    description: "Prints the log lines of one request, from log files or standard input."
        + " Example: cat logs/* | winglock why 9c41d07be2a35f68",
    args: {
        id: positional({ type: string, displayName: "id", description: "The request's id." }),
        files: restPositionals({ type: string, displayName: "file" }),
        json: flag({ long: "json", description: "Print one line of JSON." }),
    },
    handler: ({ id, files, json }) => {
        const sources: readonly (string | number)[] = files.length === 0 ? [STDIN_FD] : files;
        const lines = readRequestLog(sources.map(readLog).join("\n"), id);
        if (lines.length === 0) {
            throw new CliError(exitCode.notFound, `no line of these logs has the id ${id}`);
        }
        output(json, lines, formatRequestLog(lines));
    },
});
