/** An event of the test runner about a test or a test file. */

/**
 * `file` is the path of the test's file. `name` equals `file` if the event is about the file itself: the runner reports
 * a file that itself failed, or that has no test. A `notice` is a diagnostic line of the runner.
 */
export type TestEvent =
    | { readonly type: "pass"; readonly name: string; readonly file: string; }
    | { readonly type: "fail"; readonly name: string; readonly file: string; readonly why: string; }
    | { readonly type: "notice"; readonly text: string; };
