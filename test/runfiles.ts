/** Runs test files, prints their results, and decides whether the run is green. */
import { run } from "node:test";
import { tap } from "node:test/reporters";
import { judgeRun } from "./judgerun.js";
import type { TestEvent } from "./testevent.js";

/** Limits how many files run at the same time, because the processes that they start share one machine. */
const MAX_CONCURRENT_FILES = 2;

/** Files with this ending run after all others, and one at a time: their processes need the machine for themselves. */
const APART_SUFFIX = ".crowd.test.js";

/** `knownRed` is the text of KNOWN-RED.txt; `timeoutMs` applies to each file; `isFullRun`: no file is left out. */
type RunOptions = {
    readonly files: string[];
    readonly knownRed: string;
    readonly timeoutMs: number;
    readonly isFullRun: boolean;
};

type RunnerError = Error & { readonly exitCode?: number | null; readonly signal?: string | null; };

const describeError = ({ message, exitCode, signal }: RunnerError): string => {
    if (typeof signal === "string") {
        return `ended by ${signal}`;
    }
    return typeof exitCode === "number" ? `ended with code ${exitCode}` : message;
};

/** Runs files and prints their results; resolves with the events of their tests. */
const collectEvents = async (files: string[], concurrency: number, timeoutMs: number): Promise<TestEvent[]> => {
    const events: TestEvent[] = [];
    if (files.length === 0) {
        return events;
    }
    const testStream = run({ files, concurrency, timeout: timeoutMs });
    testStream.on("test:pass", ({ name, file = "" }) => events.push({ type: "pass", name, file }));
    testStream.on("test:fail", ({ name, file = "", details }) => {
        events.push({ type: "fail", name, file, why: describeError(details.error as RunnerError) });
    });
    testStream.on("test:diagnostic", ({ message: text }) => events.push({ type: "notice", text }));
    const tapStream = testStream.compose(tap);
    tapStream.pipe(process.stdout);
    await new Promise(resolve => tapStream.on("end", resolve));
    return events;
};

/** Resolves with false if anything other than a listed test fails. */
export async function runFiles({ files, knownRed, timeoutMs, isFullRun }: RunOptions): Promise<boolean> {
    const isApart = (file: string): boolean => file.endsWith(APART_SUFFIX);
    const events = [
        ...await collectEvents(files.filter(file => !isApart(file)), MAX_CONCURRENT_FILES, timeoutMs),
        ...await collectEvents(files.filter(isApart), 1, timeoutMs),
    ];
    const { red, passedOver, stale } = judgeRun({ events, files, knownRed, isFullRun });
    passedOver.forEach(line => console.log(`known red, passed over: ${line}`));
    stale.forEach(line => console.log(`stale entry of KNOWN-RED.txt, ${line}`));
    red.forEach(line => console.log(`red: ${line}`));
    return red.length === 0;
}
