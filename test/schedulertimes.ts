/** Reads how long the main thread of a process has run, and how long it has waited for a processor. */
import { readFileSync } from "node:fs";

/** Milliseconds since the start of the process. */
type SchedulerTimes = { readonly ranMs: number; readonly waitedMs: number; };

const NS_PER_MS = 1e6;

/** Returns undefined if the process has ended, or if the system does not state the times (proc(5), schedstat). */
export function schedulerTimes(pid: number): SchedulerTimes | undefined {
    try {
        const [ranNs, waitedNs] = readFileSync(`/proc/${pid}/schedstat`, "utf8").split(" ").map(Number);
        return { ranMs: Math.round(ranNs! / NS_PER_MS), waitedMs: Math.round(waitedNs! / NS_PER_MS) };
    }
    catch {
        // The process has ended.
        return undefined;
    }
}
