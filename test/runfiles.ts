/** Runs test files, prints what became of them, and says whether the run is green. */
import { run } from "node:test";
import { tap } from "node:test/reporters";
import { judgeRun } from "./judgerun.js";
import type { TestEvent } from "./testevent.js";

/** Files at the same time: their processes use the same machine. */
const CONCURRENCY = 2;

/** `knownRed` is the text of the list of known failures, `timeoutMs` the time of a file; `isWhole`: these are all files. */
type RunOptions = {
    readonly files: string[];
    readonly knownRed: string;
    readonly timeoutMs: number;
    readonly isWhole: boolean;
};

type RunnerError = Error & { readonly exitCode?: number | null; readonly signal?: string | null; };

const whyOf = ({ message, exitCode, signal }: RunnerError): string => {
    if (typeof signal === "string") {
        return `ended by ${signal}`;
    }
    return typeof exitCode === "number" ? `ended with code ${exitCode}` : message;
};

/** Resolves with false when anything but a listed test is red. */
export async function runFiles({ files, knownRed, timeoutMs, isWhole }: RunOptions): Promise<boolean> {
    const events: TestEvent[] = [];
    const stream = run({ files, concurrency: CONCURRENCY, timeout: timeoutMs });
    stream.on("test:pass", ({ name, file = "" }) => events.push({ type: "pass", name, file }));
    stream.on("test:fail", ({ name, file = "", details }) => {
        events.push({ type: "fail", name, file, why: whyOf(details.error as RunnerError) });
    });
    stream.on("test:diagnostic", ({ message: text }) => events.push({ type: "notice", text }));
    const printed = stream.compose(tap);
    printed.pipe(process.stdout);
    await new Promise(resolve => printed.on("end", resolve));
    const { red, passedOver, stale } = judgeRun({ events, files, knownRed, isWhole });
    passedOver.forEach(line => console.log(`known red, passed over: ${line}`));
    stale.forEach(line => console.log(`stale entry of KNOWN-RED.txt, ${line}`));
    red.forEach(line => console.log(`red: ${line}`));
    return red.length === 0;
}
