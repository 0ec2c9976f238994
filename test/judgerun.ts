/**
 * Is a run of the tests red, and by what?
 *
 * A test may be listed as known to fail, a file may not: it fails by itself when it ends early, and then nobody knows which of its tests
 * have not run.
 */
import type { TestEvent } from "./testevent.js";

/** Something went on after the end of a test, and failed: no test is red by it, nor its file where another test is. */
const AFTER_THE_END = /generated asynchronous activity after/;

/** All that was run; `knownRed` is the text of the list, `isWhole` says that all files were run. */
type Run = {
    readonly events: readonly TestEvent[];
    readonly files: readonly string[];
    readonly knownRed: string;
    readonly isWhole: boolean;
};

/** A line each; the run is red when there is any in `red`. */
type RunVerdict = { readonly red: string[]; readonly passedOver: string[]; readonly stale: string[]; };

const isOfFile = ({ name, file }: { readonly name: string; readonly file: string; }): boolean => name === file;

/** Each entry begins with a test's name, which may hold commas itself, and a comma. */
const entriesOf = (knownRed: string): string[] => knownRed.split("\n").filter(line => line.trim() !== "");

/** Pure. */
export function judgeRun({ events, files, knownRed, isWhole }: Run): RunVerdict {
    const entries = entriesOf(knownRed);
    const lists = (entry: string, name: string): boolean => entry.startsWith(`${name},`);
    const failed = events.filter(event => event.type === "fail");
    const passed = events.filter(event => event.type === "pass");
    const isListed = (name: string): boolean => entries.some(entry => lists(entry, name));

    const red: string[] = [];
    for (const event of failed) {
        if (isOfFile(event)) {
            red.push(`${event.file}: the file failed by itself, and some of its tests may not have run: ${event.why}`);
        }
        else if (!isListed(event.name)) {
            red.push(event.name);
        }
    }
    passed.filter(isOfFile).forEach(({ file }) => red.push(`${file}: the file has no test`));
    const told = new Set([...failed, ...passed].map(({ file }) => file));
    files.filter(file => !told.has(file)).forEach(file => red.push(`${file}: nothing was told of the file`));
    for (const event of events) {
        if (event.type === "notice" && AFTER_THE_END.test(event.text)) {
            red.push(event.text);
        }
    }
    if (files.length === 0) {
        red.push("there is no test file to run");
    }

    const tests = failed.filter(event => !isOfFile(event));
    const passedOver = tests.filter(({ name }) => isListed(name)).map(({ name }) => name);
    const stale = entries.flatMap(entry => {
        if (tests.some(({ name }) => lists(entry, name))) {
            return [];
        }
        if (passed.some(({ name }) => lists(entry, name))) {
            return [`the test passes: ${entry}`];
        }
        return isWhole ? [`there is no such test: ${entry}`] : [];
    });
    return { red, passedOver, stale };
}
