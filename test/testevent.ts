/** What the test runner tells of a test, or of a file. */

/**
 * `file` is the path of the test's file, and is the name too where the runner tells of the file itself: it does so where the file failed by
 * itself, or has no test. `notice` is a line of the runner's own.
 */
export type TestEvent =
    | { readonly type: "pass"; readonly name: string; readonly file: string; }
    | { readonly type: "fail"; readonly name: string; readonly file: string; readonly why: string; }
    | { readonly type: "notice"; readonly text: string; };
