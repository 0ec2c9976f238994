/** Gives a process of a test only slices of time to run in, as a quota of processor time does. */
import type { Child } from "../demo/child.js";
import { pause } from "./pause.js";

/** How long the process runs in each period, and how long it then stands still; in milliseconds. */
type Slice = { readonly runMs: number; readonly stopMs: number; };

/** Stops and resumes the process in turn while the body runs; the process runs on afterwards. */
export async function withTimeSlices<Result>(
    child: Child,
    { runMs, stopMs }: Slice,
    body: () => Promise<Result>,
): Promise<Result> {
    let isDone = false;
    const slicing = (async (): Promise<void> => {
        while (!isDone) {
            child.signal("SIGSTOP");
            await pause(stopMs);
            child.signal("SIGCONT");
            await pause(runMs);
        }
    })();
    try {
        return await body();
    }
    finally {
        isDone = true;
        await slicing;
    }
}
