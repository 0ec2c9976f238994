/**
 * Decides whether a run of the tests is red, and by which failures.
 *
 * A test may be listed as known to fail, but a file may not: a file itself fails when its process ends early, and then
 * it is unknown which of its tests have not run.
 */
import type { TestEvent } from "./testevent.js";

/**
 * Matches the test runner's line about code that went on after the end of its test and failed. The runner reports no
 * failed test for it, and no failed file either if another test of the file fails.
 */
const AFTER_TEST_END = /generated asynchronous activity after/;

/**
 * The events and files of a run. `knownRed` is the text of KNOWN-RED.txt; `isFullRun` is true if no test file was left
 * out.
 */
type TestRun = {
    readonly events: readonly TestEvent[];
    readonly files: readonly string[];
    readonly knownRed: string;
    readonly isFullRun: boolean;
};

/** Lines to print: failures, listed tests that failed, and stale entries. The run is red if `red` has a line. */
type RunVerdict = { readonly red: string[]; readonly passedOver: string[]; readonly stale: string[]; };

const isFileEvent = ({ name, file }: { readonly name: string; readonly file: string; }): boolean => name === file;

/** Returns the entries, one a line. Each begins with a test's name, which may contain commas, and a comma. */
const parseEntries = (knownRed: string): string[] => knownRed.split("\n").filter(line => line.trim() !== "");

/** Returns the verdict on a run; a pure function. */
export function judgeRun({ events, files, knownRed, isFullRun }: TestRun): RunVerdict {
    const entries = parseEntries(knownRed);
    const isEntryOf = (entry: string, name: string): boolean => entry.startsWith(`${name},`);
    const failed = events.filter(event => event.type === "fail");
    const passed = events.filter(event => event.type === "pass");
    const isListed = (name: string): boolean => entries.some(entry => isEntryOf(entry, name));

    const red: string[] = [];
    for (const event of failed) {
        if (isFileEvent(event)) {
            red.push(`${event.file}: the file failed by itself, and some of its tests may not have run: ${event.why}`);
        }
        else if (!isListed(event.name)) {
            red.push(event.name);
        }
    }
    passed.filter(isFileEvent).forEach(({ file }) => red.push(`${file}: the file has no test`));
    const filesWithEvents = new Set([...failed, ...passed].map(({ file }) => file));
    files.filter(file => !filesWithEvents.has(file)).forEach(file => red.push(`${file}: nothing was told of the file`));
    for (const event of events) {
        if (event.type === "notice" && AFTER_TEST_END.test(event.text)) {
            red.push(event.text);
        }
    }
    if (files.length === 0) {
        red.push("there is no test file to run");
    }

    const failedTests = failed.filter(event => !isFileEvent(event));
    const passedOver = failedTests.filter(({ name }) => isListed(name)).map(({ name }) => name);
    const stale = entries.flatMap(entry => {
        if (failedTests.some(({ name }) => isEntryOf(entry, name))) {
            return [];
        }
        if (passed.some(({ name }) => isEntryOf(entry, name))) {
            return [`the test passes: ${entry}`];
        }
        return isFullRun ? [`there is no such test: ${entry}`] : [];
    });
    return { red, passedOver, stale };
}
